package edge

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/carobstile/carobstile/internal/settings"
)

// settingsPollInterval is how often the settings file is checked for changes made without a signal.
const settingsPollInterval = 5 * time.Second

// watchSettings reloads the settings file on a signal and when its modification time changes.
func (d *Daemon) watchSettings(ctx context.Context, path string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			lastModTime = modTime(path)
			d.reload(path, "signal")
		case <-ticker.C:
			if now := modTime(path); !now.Equal(lastModTime) {
				lastModTime = now
				d.reload(path, "file changed")
			}
		}
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be read; reload then logs the error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies those settings of the file that can change at run time: the retry limits, the memory limit, the
// grace period of stops and the operator key. Invalid settings change nothing.
func (d *Daemon) reload(path, trigger string) {
	next := &Settings{}
	if err := settings.Load(path, next); err != nil {
		d.log.Error("settings not reloaded", "why", trigger, "err", err)
		return
	}
	old := d.latestSettings.Swap(next)
	next.applyMemoryLimit()
	d.handler.Bodies.SetLimits(next.largeBodyBytes(), next.reservedBytes())
	d.budget.SetLimits(next.Retry.limits())
	d.log.Info("settings reloaded", "why", trigger, "changed", strings.Join(changedSettings(old, next), ","),
		"at_next_start", strings.Join(restartOnlyChanges(d.settings, next), ","))
	if table := d.table.Load(); table != nil && old.MemoryMB != next.MemoryMB {
		d.warnOfBodies(table.Limits)
	}
}

// changedSettings returns the JSON names of the settings that differ.
func changedSettings(a, b *Settings) []string {
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

// restartOnlyChanges returns the changed settings that only apply after a restart.
func restartOnlyChanges(running, next *Settings) []string {
	a, b := *running, *next
	a.Retry, a.MemoryMB, a.StopGraceSeconds, a.OperatorKey = b.Retry, b.MemoryMB, b.StopGraceSeconds, b.OperatorKey
	return changedSettings(&a, &b)
}
