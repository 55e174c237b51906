package ctl

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/fleet"
	"github.com/cockroachdb/errors"
)

type statusCommand struct{ cli *cli }

// daemonRow, poolRow and engineRow are the entries of the JSON output of status.
type daemonRow struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
	Ready         bool   `json:"ready"`
	Generation    uint64 `json:"generation"`
	OpenStreams   uint32 `json:"openStreams"`
	Problem       string `json:"problem,omitempty"`
}

type poolRow struct {
	Pool         string `json:"pool"`
	Allocator    string `json:"allocator"`
	EnginesReady uint32 `json:"enginesReady"`
	Grants       uint32 `json:"grants"`
	Queued       uint32 `json:"queued"`
}

type engineRow struct {
	Name        string   `json:"name"`
	Pool        string   `json:"pool"`
	State       string   `json:"state"`
	Role        string   `json:"role"`
	Models      []string `json:"models"`
	KVTokens    uint64   `json:"kvTokens"`
	KVUsed      uint64   `json:"kvTokensUsed"`
	ReportAgeMs int64    `json:"reportAgeMs"`
}

type statusOutput struct {
	Daemons []daemonRow `json:"daemons"`
	Pools   []poolRow   `json:"pools"`
	Engines []engineRow `json:"engines"`
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	if len(s.cli.options.Admin) == 0 {
		return withExitCode(ExitUsage, errors.New("no admin address is set; use --admin or --settings"))
	}
	ctx, cancel := s.cli.withTimeout()
	defer cancel()
	out := newStatusOutput(s.cli.fleet().Survey(ctx))
	if s.cli.json() {
		return s.cli.printJSON(out)
	}
	return s.print(out)
}

func newStatusOutput(daemons []fleet.Daemon) statusOutput {
	out := statusOutput{Daemons: []daemonRow{}, Pools: []poolRow{}, Engines: []engineRow{}}
	for _, d := range daemons {
		out.Daemons = append(out.Daemons, daemonRow{
			Name: d.Name, Region: d.Member.GetRegion(), FailureDomain: d.Member.GetFailureDomain(),
			State: memberState(d.Member.GetState()), Ready: d.Status.GetReady(), Generation: d.Generation(),
			OpenStreams: d.Status.GetOpenStreams(), Problem: d.Error,
		})
		for _, p := range d.Status.GetPools() {
			out.Pools = append(out.Pools, poolRow{
				Pool: p.GetPool(), Allocator: d.Name, EnginesReady: p.GetEnginesReady(), Grants: p.GetGrants(), Queued: p.GetQueued(),
			})
			out.Engines = append(out.Engines, engineRows(p)...)
		}
	}
	return out
}

func engineRows(p *pb.PoolStatus) []engineRow {
	var out []engineRow
	for _, e := range p.GetEngines() {
		age := time.Duration(e.GetReportAgeMicros()) * time.Microsecond
		out = append(out, engineRow{
			Name: e.GetName(), Pool: p.GetPool(), State: e.GetState(), Role: e.GetRole(), Models: loadedModels(e.GetModels()),
			KVTokens: e.GetKvTokensTotal(), KVUsed: e.GetKvTokensUsed(), ReportAgeMs: age.Milliseconds(),
		})
	}
	return out
}

// loadedModels formats each model as "name@version+adapter+adapter".
func loadedModels(models []*pb.LoadedModel) []string {
	out := []string{}
	for _, m := range models {
		text := m.GetName() + "@" + m.GetVersion()
		for _, adapter := range m.GetAdapters() {
			text += "+" + adapter
		}
		out = append(out, text)
	}
	return out
}

func memberState(state pb.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "MEMBER_STATE_"))
}

func (s *statusCommand) print(out statusOutput) error {
	w := s.cli.env.Stdout
	var rows [][]string
	for _, d := range out.Daemons {
		row := []string{d.Name, d.FailureDomain, d.State, "unknown", "unknown", "unknown", d.Problem}
		if d.Problem == "" {
			row[3], row[4], row[5] = yesNo(d.Ready), fmt.Sprint(d.Generation), fmt.Sprint(d.OpenStreams)
		}
		rows = append(rows, row)
	}
	header := []string{"NAME", "FAILURE DOMAIN", "STATE", "READY", "GENERATION", "STREAMS", "PROBLEM"}
	if err := printTable(w, "Daemons", header, rows); err != nil {
		return err
	}
	rows = nil
	for _, p := range out.Pools {
		rows = append(rows, []string{p.Pool, p.Allocator, fmt.Sprint(p.EnginesReady), fmt.Sprint(p.Grants), fmt.Sprint(p.Queued)})
	}
	header = []string{"POOL", "ALLOCATOR", "ENGINES READY", "GRANTS", "QUEUED"}
	if err := printTable(w, "\nPools", header, rows); err != nil {
		return err
	}
	rows = nil
	for _, e := range out.Engines {
		rows = append(rows, []string{
			e.Name, e.Pool, e.State, e.Role, strings.Join(e.Models, ","), usedPercent(e.KVUsed, e.KVTokens),
			strconv.FormatInt(e.ReportAgeMs, 10) + " ms",
		})
	}
	header = []string{"ENGINE", "POOL", "STATE", "ROLE", "MODELS", "KV USED", "REPORT AGE"}
	return printTable(w, "\nEngines", header, rows)
}

func usedPercent(used, total uint64) string {
	if total == 0 {
		return ""
	}
	return fmt.Sprintf("%d%%", used*100/total)
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
