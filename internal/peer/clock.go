package peer

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/evlog"
)

// clockField is the name of the field that carries the hybrid logical clock in every message.
const clockField = protoreflect.Name("clock")

func stamp(clock *evlog.Clock, message any) {
	m, ok := message.(proto.Message)
	if !ok {
		return
	}
	r := m.ProtoReflect()
	field := r.Descriptor().Fields().ByName(clockField)
	if field == nil || !r.IsValid() {
		return
	}
	now := clock.Now()
	value := &pb.Clock{WallMicros: now.WallMicros, Counter: now.Counter}
	r.Set(field, protoreflect.ValueOfMessage(value.ProtoReflect()))
}

func observe(clock *evlog.Clock, message any) {
	m, ok := message.(interface{ GetClock() *pb.Clock })
	if !ok || m.GetClock() == nil {
		return
	}
	clock.Observe(evlog.Timestamp{WallMicros: m.GetClock().GetWallMicros(), Counter: m.GetClock().GetCounter()})
}

// clockInterceptor sets the clock of outgoing messages and advances the local clock by incoming ones, on both sides of
// a call.
func clockInterceptor(clock *evlog.Clock) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			client := req.Spec().IsClient
			if client {
				stamp(clock, req.Any())
			} else {
				observe(clock, req.Any())
			}
			res, err := next(ctx, req)
			if err != nil {
				return res, err
			}
			if client {
				observe(clock, res.Any())
			} else {
				stamp(clock, res.Any())
			}
			return res, nil
		}
	}
}
