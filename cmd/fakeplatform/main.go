// Command fakeplatform emulates the platform: object API, host list and weight store.
package main

import (
	"os"
	"time"

	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/fakeplatform"
	"github.com/carobstile/carobstile/internal/platform"
)

func main() {
	var s fakeplatform.Settings
	os.Exit(app.Main("fakeplatform", &s, func(env *app.Env) error {
		return env.Serve("platform", s.Address, fakeplatform.New(s, platform.NewFake()), time.Second)
	}))
}
