// Command fakeservice emulates a plain (non-model) backend service.
package main

import (
	"os"
	"time"

	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/fakeservice"
)

func main() {
	var s fakeservice.Settings
	os.Exit(app.Main("fakeservice", &s, func(env *app.Env) error {
		return env.Serve("service", s.Address, fakeservice.New(s), time.Second)
	}))
}
