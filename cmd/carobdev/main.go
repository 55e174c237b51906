// Command carobdev writes the settings of a small deployment on loopback addresses, for development.
package main

import (
	"encoding/json"
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
	Engine           string `long:"engine" value-name:"FILE" description:"JSON template of the engines' settings"`
	Profiling        bool   `long:"profiling" description:"let daemons serve profiles on their admin addresses"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := write(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(o options) error {
	plan := devdeploy.Plan{
		Dir: o.Dir, BasePort: o.BasePort, Hosts: o.Hosts, Domains: o.Domains, EnginesPerDomain: o.EnginesPerDomain,
		Profiling: o.Profiling,
	}
	if o.Engine != "" {
		data, err := os.ReadFile(o.Engine)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &plan.Engine); err != nil {
			return fmt.Errorf("%s: %w", o.Engine, err)
		}
	}
	deployment, err := devdeploy.Write(plan)
	if err != nil {
		return err
	}
	for _, p := range deployment.Processes {
		fmt.Println(p.Name, p.Binary, p.Settings)
	}
	return nil
}
