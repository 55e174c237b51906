package peer

import (
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/gen/carobstile/v1/carobstilev1connect"
	"github.com/carobstile/carobstile/internal/evlog"
)

// MaxMessageBytes is the maximum size of a PeerService message in either direction.
const MaxMessageBytes = 1 << 20

// compressMinBytes is the minimum size of messages that are compressed. Smaller ones fit into one TCP segment anyway.
const compressMinBytes = 1_024

// Limits of the server. Idle connections are closed, so that a daemon does not keep a connection to every other daemon
// indefinitely.
const (
	serverIdleTimeout   = 45 * time.Second
	serverHeaderTimeout = 5 * time.Second
	maxHeaderBytes      = 16 << 10
	maxStreams          = 256
)

// GrantHandler handles calls of gates for pools that this daemon allocates.
type GrantHandler interface {
	Grant(ctx context.Context, req *pb.GrantRequest) (*pb.GrantResponse, error)
	Renew(ctx context.Context, req *pb.RenewRequest) (*pb.RenewResponse, error)
	Release(ctx context.Context, req *pb.ReleaseRequest) (*pb.ReleaseResponse, error)
}

// ConfigSource provides the active configuration.
type ConfigSource interface {
	FetchConfig(ctx context.Context, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error)
}

// MemberSource handles full exchanges of the membership table.
type MemberSource interface {
	SyncMembers(ctx context.Context, req *pb.SyncMembersRequest) (*pb.SyncMembersResponse, error)
}

// StatusSource provides the status of the daemon.
type StatusSource interface {
	Status(ctx context.Context, req *pb.StatusRequest) (*pb.StatusResponse, error)
}

// Handlers are the components that handle calls. Calls for a nil component fail with the code unimplemented.
type Handlers struct {
	Grants  GrantHandler
	Config  ConfigSource
	Members MemberSource
	Status  StatusSource
}

// Server serves PeerService over HTTP/2 with mutual TLS.
type Server struct {
	http *http.Server
}

// NewServer returns a server that is not listening yet.
func NewServer(credentials Credentials, handlers Handlers, clock *evlog.Clock) (*Server, error) {
	serverTLS, _, err := credentials.TLS()
	if err != nil {
		return nil, err
	}
	serverTLS.NextProtos = []string{"h2"}
	mux := http.NewServeMux()
	mux.Handle(carobstilev1connect.NewPeerServiceHandler(
		&service{handlers: handlers},
		connect.WithInterceptors(clockInterceptor(clock)),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	))
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	return &Server{http: &http.Server{
		Handler: mux, TLSConfig: serverTLS, Protocols: protocols, IdleTimeout: serverIdleTimeout,
		ReadHeaderTimeout: serverHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		// Unauthenticated clients must not be able to flood the log with failed handshakes.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}}, nil
}

// Serve serves connections accepted by listener until Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(tls.NewListener(listener, s.http.TLSConfig))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown waits for calls in flight until ctx is done, then closes all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		return errors.CombineErrors(err, s.http.Close())
	}
	return nil
}

// Close closes all connections at once.
func (s *Server) Close() error { return s.http.Close() }

type service struct {
	handlers Handlers
}

func unimplemented(component string) error {
	return connect.NewError(connect.CodeUnimplemented, errors.Newf("this daemon has no %s", component))
}

func handleCall[Req, Res any](ctx context.Context, req *connect.Request[Req],
	call func(context.Context, *Req) (*Res, error),
) (*connect.Response[Res], error) {
	res, err := call(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), nil
}

func (s *service) Grant(ctx context.Context, req *connect.Request[pb.GrantRequest]) (*connect.Response[pb.GrantResponse], error) {
	if s.handlers.Grants == nil {
		return nil, unimplemented("allocator")
	}
	return handleCall(ctx, req, s.handlers.Grants.Grant)
}

func (s *service) Renew(ctx context.Context, req *connect.Request[pb.RenewRequest]) (*connect.Response[pb.RenewResponse], error) {
	if s.handlers.Grants == nil {
		return nil, unimplemented("allocator")
	}
	return handleCall(ctx, req, s.handlers.Grants.Renew)
}

func (s *service) Release(ctx context.Context, req *connect.Request[pb.ReleaseRequest]) (*connect.Response[pb.ReleaseResponse], error) {
	if s.handlers.Grants == nil {
		return nil, unimplemented("allocator")
	}
	return handleCall(ctx, req, s.handlers.Grants.Release)
}

func (s *service) FetchConfig(ctx context.Context, req *connect.Request[pb.FetchConfigRequest]) (*connect.Response[pb.FetchConfigResponse], error) {
	if s.handlers.Config == nil {
		return nil, unimplemented("configuration")
	}
	return handleCall(ctx, req, s.handlers.Config.FetchConfig)
}

func (s *service) SyncMembers(ctx context.Context, req *connect.Request[pb.SyncMembersRequest]) (*connect.Response[pb.SyncMembersResponse], error) {
	if s.handlers.Members == nil {
		return nil, unimplemented("membership")
	}
	return handleCall(ctx, req, s.handlers.Members.SyncMembers)
}

func (s *service) Status(ctx context.Context, req *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	if s.handlers.Status == nil {
		return nil, unimplemented("status")
	}
	return handleCall(ctx, req, s.handlers.Status.Status)
}
