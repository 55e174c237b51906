// Command carobgate is the daemon that runs on each entry host.
package main

import (
	"os"

	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/daemon"
)

func main() {
	var s daemon.Settings
	os.Exit(app.Main("carobgate", &s, func(env *app.Env) error { return daemon.Start(&s, env) }))
}
