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
	// stopGrace lets open pages finish.
	stopGrace         = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 30 * time.Second
)

// Start adds the console to a process.
func Start(env *app.Env, s *Settings) error {
	console, err := New(s, Deps{
		Store: confstore.New(platform.NewClient(s.PlatformAddress)), Fleet: fleet.NewClient(s.Admin, s.AdminPort),
		Log: env.Log, Now: time.Now,
	})
	if err != nil {
		return err
	}
	if s.Certificate == "" {
		return env.Serve("console", s.Address, console.Handler(), stopGrace)
	}
	return serveTLS(env, s, console.Handler())
}

func serveTLS(env *app.Env, s *Settings, handler http.Handler) error {
	pair, err := tls.X509KeyPair([]byte(s.Certificate), []byte(s.Key))
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "console address")
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
		ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close() // the grace period is over; what is still open is cut off
		}
	})
	return nil
}
