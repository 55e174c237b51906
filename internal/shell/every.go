package shell

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx is done. The first call is made after one interval.
func Every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}
