package edge

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/carobstile/carobstile/internal/settings"
)

// settingsPoll is how often the settings file is looked at; it may change without a signal.
const settingsPoll = 5 * time.Second

// watchSettings takes in changes of the settings file, at a signal and by itself.
func (d *Daemon) watchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			seen = modified(path)
			d.reload(path, "signal")
		case <-ticker.C:
			if now := modified(path); !now.Equal(seen) {
				seen = now
				d.reload(path, "file changed")
			}
		}
	}
}

// modified returns the zero time for a file that cannot be looked at; reload reports why.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload puts the settings of the file in force as far as they can change while the process runs: the limits of
// repeats, the memory and the grace period of stops. Settings with errors change nothing.
func (d *Daemon) reload(path, why string) {
	next := &Settings{}
	if err := settings.Load(path, next); err != nil {
		d.log.Error("settings not reloaded", "why", why, "err", err)
		return
	}
	old := d.changeable.Swap(next)
	next.limitMemory()
	d.budget.SetLimits(next.Retry.limits())
	d.log.Info("settings reloaded", "why", why, "changed", strings.Join(differing(old, next), ","),
		"at_next_start", strings.Join(fixedDiffering(d.settings, next), ","))
}

// differing returns the JSON names of the settings that differ.
func differing(a, b *Settings) []string {
	var out []string
	va, vb := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range va.NumField() {
		if !reflect.DeepEqual(va.Field(i).Interface(), vb.Field(i).Interface()) {
			name, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
			out = append(out, name)
		}
	}
	return out
}

// fixedDiffering returns the settings that differ and apply at the next start only.
func fixedDiffering(inForce, next *Settings) []string {
	a, b := *inForce, *next
	a.Retry, a.MemoryMB, a.StopGraceSeconds = b.Retry, b.MemoryMB, b.StopGraceSeconds
	return differing(&a, &b)
}
