// Package devdeploy writes the settings files of a small deployment on loopback addresses: fakes of the platform, the
// engines and a plain service, the console, and entry hosts spread over the failure domains. It is used for development
// and by the end-to-end tests.
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
	// CallerKey and SecondCallerKey are the bearer keys of two callers, for development only.
	CallerKey       = "dev-key-trust"
	SecondCallerKey = "dev-key-norrvik"
	// Operator and OperatorPassword are the credentials of the console, for development only.
	Operator         = "dev"
	OperatorPassword = "dev-password"
	// NonIdempotentRoute is a route to the plain service for non-idempotent requests, IdempotentRoute one for idempotent
	// requests.
	NonIdempotentRoute = "bells"
	IdempotentRoute    = "status"
)

const (
	certificateValidity = 30 * 24 * time.Hour
	fileMode            = 0o600
	// passwordIterations is the lowest count that carobconsole accepts, because the password is public anyway.
	passwordIterations = 100_000
	// Port offsets from Plan.BasePort.
	platformPortOffset    = 0
	servicePortOffset     = 1
	consolePortOffset     = 3
	firstEnginePortOffset = 10
	firstHostPortOffset   = 60
	portsPerHost          = 4
	// defaultPrefillRate is the default of Plan.PrefillRate, in tokens per second.
	defaultPrefillRate = 20_000
)

// Plan describes the deployment to write.
type Plan struct {
	// Dir is the directory to which the files are written.
	Dir string
	// BasePort is the first of a range of about 100 ports.
	BasePort int
	Hosts    int
	Domains  int
	// EnginesPerDomain is the number of engines in each failure domain; they form one pool.
	EnginesPerDomain int
	// Engine is the template of the engines' settings.
	Engine fakeengine.Settings
	// EmptyEngines starts the engines without a model, which the controller then places.
	EmptyEngines bool
	// PrefillRate is the prefill rate configured for each engine, in tokens per second; default 20,000.
	PrefillRate int
	// PolicyOff names the allocator rules to disable, for measurements.
	PolicyOff []string
	// Mix is an optional load mix. Its model replaces Model, and its workspaces and routes are configured in addition to
	// the defaults.
	Mix *load.Mix
	// LameDuckMs and StopGraceMs are the daemon settings of these names.
	LameDuckMs  int
	StopGraceMs int
	// Profiling enables the profiling endpoints of the daemons.
	Profiling bool
}

// Process is one process of the deployment: its name, its binary and the path of its settings file.
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

// Deployment describes a written deployment.
type Deployment struct {
	Dir       string
	Processes []Process
	Hosts     []Host
	Platform  string
	Service   string
	Console   string
	// Engines maps engine names to addresses.
	Engines map[string]string
	// ConfigFile is the path of the configuration document to apply; Document is its content.
	ConfigFile string
	Document   config.Document
}

type writer struct {
	plan       Plan
	deployment *Deployment
	ca         *peer.Authority
	err        error
}

// Write writes the settings of all processes, processes.json and the configuration document into plan.Dir.
func Write(plan Plan) (*Deployment, error) {
	if err := os.MkdirAll(plan.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create the deployment directory")
	}
	ca, err := peer.NewAuthority(certificateValidity)
	if err != nil {
		return nil, err
	}
	w := &writer{plan: plan, ca: ca, deployment: &Deployment{Dir: plan.Dir, Engines: map[string]string{}}}
	w.addFakes()
	w.addEngines()
	w.addHosts()
	w.addConsole()
	w.writeDocument()
	w.writeFile("processes.json", w.deployment.Processes)
	return w.deployment, w.err
}

func (w *writer) address(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", w.plan.BasePort+offset)
}

func (w *writer) domainName(i int) string { return fmt.Sprintf("domain-%d", i%w.plan.Domains+1) }

func (w *writer) addFakes() {
	w.deployment.Platform = w.address(platformPortOffset)
	w.deployment.Service = w.address(servicePortOffset)
	w.addProcess("platform", "fakeplatform", fakeplatform.Settings{
		Address: w.deployment.Platform, WeightLoadsPerMinute: 60,
	})
	w.addProcess("service", "fakeservice", fakeservice.Settings{Address: w.deployment.Service, Name: "service"})
}

func (w *writer) addEngines() {
	n := 0
	for range w.plan.EnginesPerDomain {
		for domain := range w.plan.Domains {
			name := fmt.Sprintf("engine-%s-%d", w.domainName(domain), n/w.plan.Domains+1)
			s := w.plan.Engine
			s.Listen = w.address(firstEnginePortOffset + n)
			s.Seed = uint64(n + 1)
			s.WeightStore = w.deployment.Platform
			s.Models = []engine.LoadedModel{}
			if !w.plan.EmptyEngines {
				s.Models = append(s.Models, engine.LoadedModel{Name: w.modelName(), Version: "1"})
			}
			w.deployment.Engines[name] = s.Listen
			w.addProcess(name, "fakeengine", s)
			w.deployment.Document.BackendServers = append(w.deployment.Document.BackendServers, config.BackendServer{
				Name: name, Address: s.Listen, Kind: config.KindEngine, Region: Region, FailureDomain: w.domainName(domain),
				Pool: "pool-" + w.domainName(domain), KVTokens: s.WithDefaults().KVTokens, PrefillTokensPerSecond: w.prefillRate(),
				DecodeTokensPerSecond: 100, ChecksFence: true, TrustworthyRefusals: true,
			})
			n++
		}
	}
}

func (w *writer) addHosts() {
	clusterKey, cursorKey := w.newKey(), w.newKey()
	for i := range w.plan.Hosts {
		portOffset := firstHostPortOffset + i*portsPerHost
		h := Host{
			Name: fmt.Sprintf("host-%d", i+1), FailureDomain: w.domainName(i), Caller: w.address(portOffset),
			Admin: w.address(portOffset + 1), Peer: w.address(portOffset + 2), ControllerAdmin: w.address(portOffset + 3),
		}
		w.deployment.Hosts = append(w.deployment.Hosts, h)
	}
	for _, h := range w.deployment.Hosts {
		credentials, err := w.ca.Issue(h.Name, net.IPv4(127, 0, 0, 1))
		w.recordError(err)
		w.addProcess(h.Name, "carobgate", daemon.Settings{
			Name: h.Name, Region: Region, FailureDomain: h.FailureDomain, CallerAddress: h.Caller, AdminAddress: h.Admin,
			PeerAddress: h.Peer, PlatformAddress: w.deployment.Platform, Seeds: w.seedAddresses(),
			ClusterKeys: []string{clusterKey}, CursorKeys: []string{cursorKey}, Credentials: credentials,
			LameDuckMs: w.plan.LameDuckMs, StopGraceMs: w.plan.StopGraceMs, PolicyOff: w.plan.PolicyOff,
			Profiling: w.plan.Profiling,
		})
		w.addProcess(h.Name+"-controller", "carobcontroller", controller.Settings{
			Name: h.Name, DaemonAddress: h.Peer, AdminAddress: h.ControllerAdmin, PlatformAddress: w.deployment.Platform,
			Credentials: credentials,
		})
	}
}

func (w *writer) addConsole() {
	hash, err := password.New(OperatorPassword, passwordIterations)
	w.recordError(err)
	s := console.Settings{
		Address: w.address(consolePortOffset), PlatformAddress: w.deployment.Platform,
		Operators: []console.Operator{{Name: Operator, PasswordHash: hash.String()}},
	}
	for _, h := range w.deployment.Hosts {
		s.Admin = append(s.Admin, h.Admin)
	}
	w.deployment.Console = s.Address
	w.addProcess("console", "carobconsole", s)
}

// seedAddresses returns the peer addresses of the first two hosts. With two seeds a daemon can still join when one of
// them is down.
func (w *writer) seedAddresses() []string {
	var addresses []string
	for _, h := range w.deployment.Hosts[:min(2, len(w.deployment.Hosts))] {
		addresses = append(addresses, h.Peer)
	}
	return addresses
}

func (w *writer) writeDocument() {
	doc := &w.deployment.Document
	doc.FormatVersion = config.FormatVersion
	doc.BackendServers = append(doc.BackendServers, config.BackendServer{
		Name: "service", Address: w.deployment.Service, Kind: config.KindService, Region: Region,
		FailureDomain: w.domainName(0),
	})
	doc.Models = []config.Model{{Name: w.modelName(), Version: "1", MaxPromptTokens: w.maxPromptTokens(), MinReplicas: 1}}
	doc.Routes = []config.Route{
		{Name: NonIdempotentRoute, BackendServers: []string{"service"}},
		{Name: IdempotentRoute, BackendServers: []string{"service"}, Idempotent: true},
	}
	for name, key := range map[string]string{"trust": CallerKey, "norrvik": SecondCallerKey} {
		doc.Callers = append(doc.Callers, config.Caller{
			Name: name, Priority: 5, Models: []string{w.modelName()}, Routes: []string{NonIdempotentRoute, IdempotentRoute},
		})
		doc.Workspaces = append(doc.Workspaces, config.Workspace{
			Name: name + "-main", Caller: name, KeyHashes: []string{config.HashKey(key)},
		})
	}
	w.addMix(w.plan.Mix)
	doc.WeightStore.LoadsPerMinute = 60
	w.deployment.ConfigFile = w.writeFile("config.json", doc)
}

// maxPromptTokens returns three quarters of a pool's KV capacity; the rest is left for the answer.
func (w *writer) maxPromptTokens() int {
	return w.plan.Engine.WithDefaults().KVTokens * w.plan.EnginesPerDomain * 3 / 4
}

func (w *writer) newKey() string {
	key, err := peer.NewKey()
	w.recordError(err)
	return key
}

func (w *writer) addProcess(name, binary string, settings any) {
	path := w.writeFile(name+".json", settings)
	w.deployment.Processes = append(w.deployment.Processes, Process{Name: name, Binary: binary, Settings: path})
}

func (w *writer) writeFile(name string, v any) string {
	data, err := json.MarshalIndent(v, "", "  ")
	w.recordError(err)
	path := filepath.Join(w.plan.Dir, name)
	w.recordError(os.WriteFile(path, append(data, '\n'), fileMode))
	return path
}

// recordError records the first error, which Write returns.
func (w *writer) recordError(err error) {
	if w.err == nil && err != nil {
		w.err = err
	}
}
