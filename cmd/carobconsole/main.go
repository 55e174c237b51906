// Command carobconsole serves the web console for operators.
package main

import (
	"os"

	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/console"
)

func main() {
	var s console.Settings
	os.Exit(app.Main("carobconsole", &s, func(env *app.Env) error { return console.Start(env, &s) }))
}
