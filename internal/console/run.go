package console

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/fleet"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/cockroachdb/errors"
)

const (
	// shutdownGracePeriod is how long open requests may take to finish on shutdown.
	shutdownGracePeriod = 5 * time.Second
	readHeaderTimeout   = 10 * time.Second
	readTimeout         = 30 * time.Second
)

// Start starts the console in the process of env, with TLS if the settings have a certificate.
func Start(env *app.Env, s *Settings) error {
	console, err := New(s, Deps{
		Store: confstore.New(platform.NewClient(s.PlatformAddress)), Fleet: fleet.NewClient(s.Admin, s.AdminPort),
		Log: env.Log, Now: time.Now,
	})
	if err != nil {
		return err
	}
	if s.Certificate == "" {
		return env.Serve("console", s.Address, console.Handler(), shutdownGracePeriod)
	}
	return serveTLS(env, s, console.Handler())
}

func serveTLS(env *app.Env, s *Settings, handler http.Handler) error {
	pair, err := tls.X509KeyPair([]byte(s.Certificate), []byte(s.Key))
	if err != nil {
		return errors.Wrap(err, "load the TLS certificate")
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listen on the console address")
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		TLSConfig: &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13},
	}
	env.Log.Info("address open", "purpose", "console", "address", listener.Addr().String())
	env.Group.Add(func() error {
		if err := server.ServeTLS(listener, "", ""); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownGracePeriod)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close() // grace period exceeded: close the remaining connections
		}
	})
	return nil
}
