// Command carobdev writes the settings of a small deployment on loopback addresses, for development.
package main

import (
	"fmt"
	"os"

	flags "github.com/jessevdk/go-flags"

	"github.com/carobstile/carobstile/internal/devdeploy"
)

type options struct {
	Dir              string `long:"dir" default:"run" description:"directory for the settings"`
	BasePort         int    `long:"base-port" default:"18000" description:"first of about a hundred ports"`
	Hosts            int    `long:"hosts" default:"3" description:"number of entry hosts"`
	Domains          int    `long:"domains" default:"3" description:"number of failure domains"`
	EnginesPerDomain int    `long:"engines-per-domain" default:"2" description:"engines in the pool of each failure domain"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	deployment, err := devdeploy.Write(devdeploy.Plan{
		Dir: o.Dir, BasePort: o.BasePort, Hosts: o.Hosts, Domains: o.Domains, EnginesPerDomain: o.EnginesPerDomain,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, p := range deployment.Processes {
		fmt.Println(p.Name, p.Binary, p.Settings)
	}
}
