// Command carobdev writes the settings of a small deployment on loopback addresses, for development.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	flags "github.com/jessevdk/go-flags"

	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/load"
)

type options struct {
	Dir              string   `long:"dir" default:"run" description:"directory for the settings"`
	BasePort         int      `long:"base-port" default:"18000" description:"first port of a block of about 100 ports"`
	Hosts            int      `long:"hosts" default:"3" description:"number of entry hosts"`
	Domains          int      `long:"domains" default:"3" description:"number of failure domains"`
	EnginesPerDomain int      `long:"engines-per-domain" default:"2" description:"engines in the pool of each failure domain"`
	EngineSettings   string   `long:"engine-settings" value-name:"FILE" description:"JSON template of the engines' settings"`
	PrefillRate      int      `long:"prefill-rate" description:"configured prefill rate of an engine in tokens a second"`
	PolicyOff        []string `long:"policy-off" value-name:"RULE" description:"allocator rule to switch off, or picker=NAME; may be repeated"`
	Mix              string   `long:"mix" value-name:"FILE" description:"load mix whose model, workspaces and routes are configured"`
	Profiling        bool     `long:"profiling" description:"let daemons serve profiles on their admin addresses"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	deployment, err := o.write()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, p := range deployment.Processes {
		fmt.Println(p.Name, p.Binary, p.Settings)
	}
}

func (o options) write() (*devdeploy.Deployment, error) {
	plan := devdeploy.Plan{
		Dir: o.Dir, BasePort: o.BasePort, Hosts: o.Hosts, Domains: o.Domains, EnginesPerDomain: o.EnginesPerDomain,
		PrefillRate: o.PrefillRate, PolicyOff: o.PolicyOff, Profiling: o.Profiling,
	}
	if o.EngineSettings != "" {
		data, err := os.ReadFile(o.EngineSettings)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(data, &plan.Engine); err != nil {
			return nil, fmt.Errorf("%s: %w", o.EngineSettings, err)
		}
	}
	if o.Mix != "" {
		mix, err := load.ReadMix(o.Mix)
		if err != nil {
			return nil, err
		}
		plan.Mix = &mix
	}
	return devdeploy.Write(plan)
}
