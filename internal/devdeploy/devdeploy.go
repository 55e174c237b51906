// Package devdeploy writes the settings of a small deployment on loopback addresses: stand-ins for the platform, engines
// and a plain service, and one entry host per failure domain. It serves development and the whole-path tests.
package devdeploy

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/console"
	"github.com/carobstile/carobstile/internal/controller"
	"github.com/carobstile/carobstile/internal/daemon"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/fakeengine"
	"github.com/carobstile/carobstile/internal/fakeplatform"
	"github.com/carobstile/carobstile/internal/fakeservice"
	"github.com/carobstile/carobstile/internal/load"
	"github.com/carobstile/carobstile/internal/password"
	"github.com/carobstile/carobstile/internal/peer"
)

// Names and keys of the deployment.
const (
	Region = "dev"
	Model  = "lesson"
	// CallerKey and OtherKey are bearer keys of two callers. They are for development only.
	CallerKey = "dev-key-trust"
	OtherKey  = "dev-key-norrvik"
	// Operator signs in to the console with OperatorPassword. They are for development only.
	Operator         = "dev"
	OperatorPassword = "dev-password"
	// BellsRoute is a non-idempotent plain service, StatusRoute an idempotent one.
	BellsRoute  = "bells"
	StatusRoute = "status"
)

const (
	certificateValidity = 30 * 24 * time.Hour
	fileMode            = 0o600
	// passwordIterations is low, because the password is published here.
	passwordIterations = 100_000
	// Offsets of ports from the base port.
	platformPort = 0
	servicePort  = 1
	consolePort  = 3
	enginePort   = 10
	hostPort     = 60
	portsPerHost = 4
	// defaultPrefillRate is the configured prefill rate of an engine in tokens a second.
	defaultPrefillRate = 20_000
)

// Plan is the size of a deployment.
type Plan struct {
	// Dir receives the files.
	Dir string
	// BasePort is the first of about a hundred ports.
	BasePort int
	Hosts    int
	Domains  int
	// EnginesPerDomain engines form one pool per failure domain.
	EnginesPerDomain int
	// Engine is the template of the engines' settings.
	Engine fakeengine.Settings
	// EmptyEngines start without a model; the controller places it.
	EmptyEngines bool
	// PrefillRate is the configured prefill rate of an engine in tokens a second; default 20,000.
	PrefillRate int
	// PolicyOff names allocator rules that are switched off for measurement.
	PolicyOff []string
	// Mix, if set, names the model, workspaces and routes to configure besides those of the deployment.
	Mix *load.Mix
	// LameDuckMs and StopGraceMs of the daemons.
	LameDuckMs  int
	StopGraceMs int
	// Profiling lets the daemons serve profiles.
	Profiling bool
}

// Process is one process of the deployment.
type Process struct {
	Name     string `json:"name"`
	Binary   string `json:"binary"`
	Settings string `json:"settings"`
}

// Host holds the addresses of an entry host.
type Host struct {
	Name, FailureDomain                  string
	Caller, Admin, Peer, ControllerAdmin string
}

// Deployment is what Write made.
type Deployment struct {
	Dir       string
	Processes []Process
	Hosts     []Host
	Platform  string
	Service   string
	Console   string
	// Engines are the addresses by name.
	Engines map[string]string
	// ConfigFile is the configuration document to apply.
	ConfigFile string
	Document   config.Document
}

type writer struct {
	plan Plan
	d    *Deployment
	ca   *peer.Authority
	err  error
}

// Write writes all files of a deployment.
func Write(plan Plan) (*Deployment, error) {
	if err := os.MkdirAll(plan.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "deployment directory")
	}
	ca, err := peer.NewAuthority(certificateValidity)
	if err != nil {
		return nil, err
	}
	w := &writer{plan: plan, ca: ca, d: &Deployment{Dir: plan.Dir, Engines: map[string]string{}}}
	w.standIns()
	w.engines()
	w.hosts()
	w.console()
	w.document()
	w.file("processes.json", w.d.Processes)
	return w.d, w.err
}

func (w *writer) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", w.plan.BasePort+offset)
}

func (w *writer) domain(i int) string { return fmt.Sprintf("domain-%d", i%w.plan.Domains+1) }

func (w *writer) standIns() {
	w.d.Platform = w.address(platformPort)
	w.d.Service = w.address(servicePort)
	w.process("platform", "fakeplatform", fakeplatform.Settings{Address: w.d.Platform, WeightLoadsPerMinute: 60})
	w.process("service", "fakeservice", fakeservice.Settings{Address: w.d.Service, Name: "service"})
}

func (w *writer) engines() {
	n := 0
	for range w.plan.EnginesPerDomain {
		for domain := range w.plan.Domains {
			name := fmt.Sprintf("engine-%s-%d", w.domain(domain), n/w.plan.Domains+1)
			s := w.plan.Engine
			s.Listen = w.address(enginePort + n)
			s.Seed = uint64(n + 1)
			s.WeightStore = w.d.Platform
			s.Models = []engine.LoadedModel{}
			if !w.plan.EmptyEngines {
				s.Models = append(s.Models, engine.LoadedModel{Name: w.model(), Version: "1"})
			}
			w.d.Engines[name] = s.Listen
			w.process(name, "fakeengine", s)
			w.d.Document.BackendServers = append(w.d.Document.BackendServers, config.BackendServer{
				Name: name, Address: s.Listen, Kind: config.KindEngine, Region: Region, FailureDomain: w.domain(domain),
				Pool: "pool-" + w.domain(domain), KVTokens: s.WithDefaults().KVTokens, PrefillTokensPerSecond: w.prefillRate(),
				DecodeTokensPerSecond: 100, ChecksFence: true, TrustworthyRefusals: true,
			})
			n++
		}
	}
}

func (w *writer) hosts() {
	clusterKey, cursorKey := w.key(), w.key()
	for i := range w.plan.Hosts {
		first := hostPort + i*portsPerHost
		h := Host{
			Name: fmt.Sprintf("host-%d", i+1), FailureDomain: w.domain(i), Caller: w.address(first),
			Admin: w.address(first + 1), Peer: w.address(first + 2), ControllerAdmin: w.address(first + 3),
		}
		w.d.Hosts = append(w.d.Hosts, h)
	}
	for _, h := range w.d.Hosts {
		credentials, err := w.ca.Issue(h.Name, net.IPv4(127, 0, 0, 1))
		w.note(err)
		w.process(h.Name, "carobgate", daemon.Settings{
			Name: h.Name, Region: Region, FailureDomain: h.FailureDomain, CallerAddress: h.Caller, AdminAddress: h.Admin,
			PeerAddress: h.Peer, PlatformAddress: w.d.Platform, Seeds: w.seeds(), ClusterKeys: []string{clusterKey},
			CursorKeys: []string{cursorKey}, Credentials: credentials,
			LameDuckMs: w.plan.LameDuckMs, StopGraceMs: w.plan.StopGraceMs, PolicyOff: w.plan.PolicyOff,
			Profiling: w.plan.Profiling,
		})
		w.process(h.Name+"-controller", "carobcontroller", controller.Settings{
			Name: h.Name, DaemonAddress: h.Peer, AdminAddress: h.ControllerAdmin, PlatformAddress: w.d.Platform,
			Credentials: credentials,
		})
	}
}

func (w *writer) console() {
	hash, err := password.New(OperatorPassword, passwordIterations)
	w.note(err)
	s := console.Settings{
		Address: w.address(consolePort), PlatformAddress: w.d.Platform,
		Operators: []console.Operator{{Name: Operator, PasswordHash: hash.String()}},
	}
	for _, h := range w.d.Hosts {
		s.Admin = append(s.Admin, h.Admin)
	}
	w.d.Console = s.Address
	w.process("console", "carobconsole", s)
}

// seeds are the first two hosts, so that the loss of one seed does not keep a new daemon out.
func (w *writer) seeds() []string {
	var out []string
	for _, h := range w.d.Hosts[:min(2, len(w.d.Hosts))] {
		out = append(out, h.Peer)
	}
	return out
}

func (w *writer) document() {
	doc := &w.d.Document
	doc.FormatVersion = config.FormatVersion
	doc.BackendServers = append(doc.BackendServers, config.BackendServer{
		Name: "service", Address: w.d.Service, Kind: config.KindService, Region: Region, FailureDomain: w.domain(0),
	})
	doc.Models = []config.Model{{Name: w.model(), Version: "1", MaxPromptTokens: w.longestPrompt(), MinReplicas: 1}}
	doc.Routes = []config.Route{
		{Name: BellsRoute, BackendServers: []string{"service"}},
		{Name: StatusRoute, BackendServers: []string{"service"}, Idempotent: true},
	}
	for name, key := range map[string]string{"trust": CallerKey, "norrvik": OtherKey} {
		doc.Callers = append(doc.Callers, config.Caller{
			Name: name, Priority: 5, Models: []string{w.model()}, Routes: []string{BellsRoute, StatusRoute},
		})
		doc.Workspaces = append(doc.Workspaces, config.Workspace{
			Name: name + "-main", Caller: name, KeyHashes: []string{config.HashKey(key)},
		})
	}
	w.addMix(w.plan.Mix)
	doc.WeightStore.LoadsPerMinute = 60
	w.d.ConfigFile = w.file("config.json", doc)
}

// longestPrompt is what the engines of one pool can hold together, with room for the answer.
func (w *writer) longestPrompt() int {
	return w.plan.Engine.WithDefaults().KVTokens * w.plan.EnginesPerDomain * 3 / 4
}

func (w *writer) key() string {
	key, err := peer.NewKey()
	w.note(err)
	return key
}

func (w *writer) process(name, binary string, settings any) {
	path := w.file(name+".json", settings)
	w.d.Processes = append(w.d.Processes, Process{Name: name, Binary: binary, Settings: path})
}

func (w *writer) file(name string, v any) string {
	data, err := json.MarshalIndent(v, "", "  ")
	w.note(err)
	path := filepath.Join(w.plan.Dir, name)
	w.note(os.WriteFile(path, append(data, '\n'), fileMode))
	return path
}

// note keeps the first error.
func (w *writer) note(err error) {
	if w.err == nil && err != nil {
		w.err = err
	}
}
