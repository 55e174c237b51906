// Command carobcontroller sends engines the orders that bring them to the intended models, adapters and versions.
package main

import (
	"os"

	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/controller"
)

func main() {
	var s controller.Settings
	os.Exit(app.Main("carobcontroller", &s, func(env *app.Env) error { return controller.Start(&s, env) }))
}
