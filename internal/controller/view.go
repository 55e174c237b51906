package controller

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/allocator"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/placecore"
)

// chunksPerCall bounds one FetchConfig answer to a megabyte at the largest chunk size.
const chunksPerCall = 4

// refresh learns members and configuration from the daemon on the same host.
func (c *Controller) refresh(ctx context.Context) {
	if time.Since(c.view.membersAt) < membersEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.o.Daemons.Status(ctx, c.o.DaemonAddress, &pb.StatusRequest{})
	if err != nil {
		c.o.Log.Warn("daemon did not answer", "address", c.o.DaemonAddress, "err", err)
		return
	}
	c.view.members, c.view.membersAt = status.GetMembers(), time.Now()
	if c.view.index != nil && status.GetGeneration() <= c.view.index.Generation {
		return
	}
	if err := c.fetchConfig(ctx); err != nil {
		c.o.Log.Warn("configuration not fetched", "err", err)
	}
}

func (c *Controller) fetchConfig(ctx context.Context) error {
	resp, err := c.o.Daemons.FetchConfig(ctx, c.o.DaemonAddress, &pb.FetchConfigRequest{MinGeneration: 1})
	if err != nil {
		return err
	}
	var root config.Root
	if err := json.Unmarshal(resp.GetRoot(), &root); err != nil {
		return errors.Wrap(err, "root")
	}
	chunks, err := c.fetchChunks(ctx, &root)
	if err != nil {
		return err
	}
	doc, err := config.Assemble(&root, func(hash string) ([]byte, bool) { d, ok := chunks[hash]; return d, ok })
	if err != nil {
		return err
	}
	c.view.chunks, c.view.index = chunks, config.NewIndex(root.Generation, doc)
	c.step(placecore.IntentChanged{Now: c.now(), Intent: intentOf(c.view.index)})
	return nil
}

func (c *Controller) fetchChunks(ctx context.Context, root *config.Root) (map[string][]byte, error) {
	chunks := map[string][]byte{}
	var missing [][]byte
	for _, hash := range root.Hashes() {
		if chunk, ok := c.view.chunks[hash]; ok {
			chunks[hash] = chunk
			continue
		}
		raw, err := hex.DecodeString(hash)
		if err != nil {
			return nil, errors.Wrapf(err, "chunk hash %q", hash)
		}
		missing = append(missing, raw)
	}
	for len(missing) > 0 {
		n := min(chunksPerCall, len(missing))
		resp, err := c.o.Daemons.FetchConfig(ctx, c.o.DaemonAddress, &pb.FetchConfigRequest{ChunkHashes: missing[:n]})
		if err != nil {
			return nil, err
		}
		for _, chunk := range resp.GetChunks() {
			chunks[config.ChunkHash(chunk)] = chunk
		}
		missing = missing[n:]
	}
	return chunks, nil
}

// intentOf takes from the configuration what placement needs. Names are sorted in the stored form.
func intentOf(x *config.Index) placecore.Intent {
	intent := placecore.Intent{Generation: x.Generation}
	limits := x.Doc.WeightStore.WithDefaults()
	intent.LoadsPerMinute, intent.MaxConcurrentLoads = limits.LoadsPerMinute, limits.MaxConcurrentLoads
	for _, m := range x.Doc.Models {
		model := placecore.Model{Name: m.Name, Version: m.Version, MinReplicas: m.MinReplicas, Pools: m.Pools}
		for _, a := range m.Adapters {
			model.Adapters = append(model.Adapters, a.Name)
		}
		intent.Models = append(intent.Models, model)
	}
	for _, s := range x.Doc.BackendServers {
		if s.Kind == config.KindEngine {
			intent.Engines = append(intent.Engines, placecore.Engine{
				Name: s.Name, Address: s.Address, Pool: s.Pool, MaxModels: s.ModelSlots(), Drained: s.Drained,
			})
		}
	}
	return intent
}

func (c *Controller) reportInterval() time.Duration {
	if c.view.index == nil {
		return minReportEvery
	}
	return max(minReportEvery, time.Duration(len(c.view.index.PoolNames()))*reportPause)
}

// collectReports asks each allocator once for the engines of its pools.
func (c *Controller) collectReports(ctx context.Context) {
	if c.view.index == nil {
		return
	}
	for _, address := range c.allocators() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		status, err := c.o.Daemons.Status(ctx, address, &pb.StatusRequest{OmitMembers: true})
		cancel()
		if err != nil {
			c.o.Log.Warn("allocator did not answer", "address", address, "err", err)
			continue
		}
		for _, p := range status.GetPools() {
			c.report(p)
		}
	}
}

// allocators returns the addresses of the daemons that allocate pools.
func (c *Controller) allocators() []string {
	var daemons []allocator.Daemon
	addresses := map[string]string{}
	for _, m := range c.view.members {
		if m.GetState() != pb.MemberState_MEMBER_STATE_ALIVE && m.GetState() != pb.MemberState_MEMBER_STATE_SUSPECT {
			continue
		}
		daemons = append(daemons, allocator.Daemon{Name: m.GetName(), Region: m.GetRegion(), FailureDomain: m.GetFailureDomain()})
		addresses[m.GetName()] = m.GetAddress()
	}
	pools := allocator.Places(c.view.index)
	assigned := allocator.Assign(pools, daemons)
	seen := map[string]bool{}
	var out []string
	for _, p := range pools {
		if address := addresses[assigned[p.Name]]; address != "" && !seen[address] {
			seen[address] = true
			out = append(out, address)
		}
	}
	return out
}

func (c *Controller) report(p *pb.PoolStatus) {
	for _, e := range p.GetEngines() {
		ev := placecore.EngineReported{
			Now: c.now() - core.Micros(e.GetReportAgeMicros()), Engine: e.GetName(), State: engine.State(e.GetState()),
			QueuedTokens: int(e.GetQueuedPrefillTokens()),
		}
		if total := e.GetKvTokensTotal(); total > 0 {
			ev.UsedShare = int(100 * e.GetKvTokensUsed() / total)
		}
		for _, m := range e.GetModels() {
			ev.Models = append(ev.Models, engine.LoadedModel{Name: m.GetName(), Version: m.GetVersion(), Adapters: m.GetAdapters()})
		}
		c.step(ev)
	}
}

func decodeLease(value []byte) (placecore.Lease, error) {
	var lease placecore.Lease
	return lease, json.Unmarshal(value, &lease)
}

func encodeLease(lease placecore.Lease) ([]byte, error) { return json.Marshal(lease) }
