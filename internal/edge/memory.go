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
	// holdFor is how long a reservation outlives its last renewal. If this daemon dies, engines have their memory back
	// within the four seconds that the platform allows.
	holdFor = 3500 * time.Millisecond
	// renewEvery leaves time for two further tries before a reservation ends.
	renewEvery = time.Second
	// orderTimeout bounds one order.
	orderTimeout = 400 * time.Millisecond
	// releaseTries is how often the end of a reservation is tried; it ends by itself after holdFor.
	releaseTries = 3
)

// reservations sets memory aside on engines for requests that run.
type reservations struct {
	engines Engines
	address func(server string) (string, bool)
	log     *slog.Logger
}

// Reserve implements forward.Memory.
func (m *reservations) Reserve(ctx context.Context, id uint64, holds []dispatch.Hold) (map[string]string, func(), error) {
	names := make(map[string]string, len(holds))
	group := make([]*reservation, 0, len(holds))
	for i, h := range holds {
		address, ok := m.address(h.Server)
		if !ok {
			return nil, nil, errors.Newf("server %s is gone", h.Server)
		}
		name := strconv.FormatUint(id, 36) + "-" + strconv.Itoa(i)
		names[h.Server] = name
		group = append(group, &reservation{name: name, address: address, tokens: h.Tokens, server: h.Server})
	}
	if err := m.reserveAll(ctx, group); err != nil {
		m.releaseAll(group)
		return nil, nil, err
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	for _, r := range group {
		go m.renew(renewing, r)
	}
	return names, func() {
		stop()
		m.releaseAll(group)
	}, nil
}

type reservation struct {
	name, address, server string
	tokens                int
}

// reserveAll takes the memory of all engines at the same time.
func (m *reservations) reserveAll(ctx context.Context, group []*reservation) error {
	var wait sync.WaitGroup
	errs := make([]error, len(group))
	for i, r := range group {
		wait.Go(func() { errs[i] = m.reserve(ctx, r) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

func (m *reservations) reserve(ctx context.Context, r *reservation) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := m.engines.Reserve(ctx, r.address, r.name, r.tokens, holdFor)
	return errors.Wrapf(err, "reserve memory on %s", r.server)
}

func (m *reservations) renew(ctx context.Context, r *reservation) {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := m.reserve(ctx, r); err != nil && ctx.Err() == nil {
				m.log.Warn("reservation not renewed", "reservation", r.name, "server", r.server, "err", err)
			}
		}
	}
}

// releaseAll gives the memory back without holding the request up.
func (m *reservations) releaseAll(group []*reservation) {
	for _, r := range group {
		go m.release(r)
	}
}

func (m *reservations) release(r *reservation) {
	var err error
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		err = m.engines.Release(ctx, r.address, r.name)
		cancel()
		if err == nil {
			return
		}
	}
	m.log.Warn("reservation not released; it ends by itself", evlog.KeyObject, r.name, "server", r.server, "err", err)
}
