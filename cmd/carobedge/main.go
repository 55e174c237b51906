// Command carobedge is the daemon that forwards requests to backend servers on the platform of Prairie Slate Learning Trust.
package main

import (
	"os"

	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/edge"
	"github.com/carobstile/carobstile/platform"
)

func main() {
	var s edge.Settings
	os.Exit(app.Main("carobedge", &s, func(env *app.Env) error {
		return edge.Start(&s, env, edge.Adapter{
			Store: platform.NewStoreClient(s.StoreAddress, env.Log), Engines: platform.NewEngineClient(), Codec: platform.Codec{},
		})
	}))
}
