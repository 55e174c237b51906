package edge

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
)

const (
	// reservationTTL is the lifetime of a reservation after its last renewal. If this daemon dies, the engines regain
	// their memory within the four seconds that the platform allows.
	reservationTTL = 3500 * time.Millisecond
	// renewInterval leaves time for two more attempts before a reservation expires.
	renewInterval = time.Second
	// pausedRenewInterval replaces renewInterval for servers that asked for a pause or are leaving: one call, and one more
	// attempt, before the reservation of a running request expires.
	pausedRenewInterval = 2 * time.Second
	// reservationCallTimeout bounds one call that reserves, renews or releases.
	reservationCallTimeout = 400 * time.Millisecond
	// releaseAttempts is how often a release is attempted; after that, the reservation expires after reservationTTL.
	releaseAttempts = 3
)

// reservations reserves memory on engines for running requests.
type reservations struct {
	engines   EngineClient
	server    func(id string) (dispatch.Server, bool)
	scheduler *scheduler
	log       *slog.Logger
}

// Reserve implements forward.MemoryReserver.
func (m *reservations) Reserve(
	ctx context.Context, id uint64, list []dispatch.Reservation,
) (map[string]string, func(), error) {
	names := make(map[string]string, len(list))
	group := make([]*reservation, 0, len(list))
	for i, r := range list {
		server, ok := m.server(r.Server)
		if !ok {
			return nil, nil, errors.Newf("reserve memory: no address known for server %s", r.Server)
		}
		if !m.scheduler.Accepts(server.Process()) {
			return nil, nil, errors.Newf("reserve memory: server %s accepts no requests now", r.Server)
		}
		name := strconv.FormatUint(id, 36) + "-" + strconv.Itoa(i)
		names[r.Server] = name
		group = append(group, &reservation{name: name, server: server, tokens: r.Tokens})
	}
	if err := m.reserveAll(ctx, group); err != nil {
		m.releaseAll(group)
		return nil, nil, err
	}
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	for _, r := range group {
		go m.renew(renewCtx, r)
	}
	return names, func() {
		stop()
		m.releaseAll(group)
	}, nil
}

type reservation struct {
	name   string
	server dispatch.Server
	tokens int
	// renewedAt is when the reservation was last ordered or extended.
	renewedAt time.Time
}

// reserveAll reserves memory on all engines in parallel.
func (m *reservations) reserveAll(ctx context.Context, group []*reservation) error {
	var wg sync.WaitGroup
	errs := make([]error, len(group))
	for i, r := range group {
		wg.Go(func() { errs[i] = m.reserve(ctx, r) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (m *reservations) reserve(ctx context.Context, r *reservation) error {
	ctx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	r.renewedAt = time.Now()
	notice, err := m.engines.Reserve(ctx, r.server.Address, r.name, r.tokens, reservationTTL)
	m.scheduler.RecordNotice(r.server.Process(), notice)
	return errors.Wrapf(err, "reserve memory on %s", r.server.ID)
}

func (m *reservations) renew(ctx context.Context, r *reservation) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if m.scheduler.Declines(r.server.Process()) && time.Since(r.renewedAt) < pausedRenewInterval {
				continue
			}
			if err := m.reserve(ctx, r); err != nil && ctx.Err() == nil {
				m.log.Warn("failed to renew reservation", "reservation", r.name, "server", r.server.ID, "err", err)
			}
		}
	}
}

// releaseAll releases the memory in the background, so that the request does not wait for it.
func (m *reservations) releaseAll(group []*reservation) {
	for _, r := range group {
		go m.release(r)
	}
}

func (m *reservations) release(r *reservation) {
	var err error
	for range releaseAttempts {
		var notice dispatch.Notice
		ctx, cancel := context.WithTimeout(context.Background(), reservationCallTimeout)
		notice, err = m.engines.Release(ctx, r.server.Address, r.name)
		cancel()
		m.scheduler.RecordNotice(r.server.Process(), notice)
		if err == nil || m.scheduler.Declines(r.server.Process()) {
			break
		}
	}
	if err != nil {
		m.log.Warn("failed to release reservation; it will expire", evlog.KeyObject, r.name, "server", r.server.ID, "err", err)
	}
}
