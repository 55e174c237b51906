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

// chunksPerCall limits a FetchConfig response to 1 MB at the maximum chunk size.
const chunksPerCall = 4

// refresh fetches the members and, if it is newer, the configuration from the daemon on the same host, unless the members
// were fetched within membersInterval.
func (c *Controller) refresh(ctx context.Context) {
	if time.Since(c.observed.membersAt) < membersInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err := c.opts.Daemons.Status(ctx, c.opts.DaemonAddress, &pb.StatusRequest{})
	if err != nil {
		c.opts.Log.Warn("status request to daemon failed", "address", c.opts.DaemonAddress, "err", err)
		return
	}
	c.observed.members, c.observed.membersAt = status.GetMembers(), time.Now()
	if c.observed.index != nil && status.GetGeneration() <= c.observed.index.Generation {
		return
	}
	if err := c.fetchConfig(ctx); err != nil {
		c.opts.Log.Warn("configuration fetch failed", "err", err)
	}
}

func (c *Controller) fetchConfig(ctx context.Context) error {
	resp, err := c.opts.Daemons.FetchConfig(ctx, c.opts.DaemonAddress, &pb.FetchConfigRequest{MinGeneration: 1})
	if err != nil {
		return err
	}
	var root config.Root
	if err := json.Unmarshal(resp.GetRoot(), &root); err != nil {
		return errors.Wrap(err, "decode configuration root")
	}
	chunks, err := c.fetchChunks(ctx, &root)
	if err != nil {
		return err
	}
	doc, err := config.Assemble(&root, func(hash string) ([]byte, bool) { d, ok := chunks[hash]; return d, ok })
	if err != nil {
		return err
	}
	c.observed.chunks, c.observed.index = chunks, config.NewIndex(root.Generation, doc)
	c.step(placecore.IntentChanged{Now: c.now(), Intent: intentFromConfig(c.observed.index)})
	return nil
}

// fetchChunks returns all chunks of root and fetches those that are not known yet.
func (c *Controller) fetchChunks(ctx context.Context, root *config.Root) (map[string][]byte, error) {
	chunks := map[string][]byte{}
	var missing [][]byte
	for _, hash := range root.Hashes() {
		if chunk, ok := c.observed.chunks[hash]; ok {
			chunks[hash] = chunk
			continue
		}
		raw, err := hex.DecodeString(hash)
		if err != nil {
			return nil, errors.Wrapf(err, "decode chunk hash %q", hash)
		}
		missing = append(missing, raw)
	}
	for len(missing) > 0 {
		n := min(chunksPerCall, len(missing))
		resp, err := c.opts.Daemons.FetchConfig(ctx, c.opts.DaemonAddress, &pb.FetchConfigRequest{ChunkHashes: missing[:n]})
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

// intentFromConfig returns the part of the configuration that placement needs. The stored form is sorted by name.
func intentFromConfig(index *config.Index) placecore.Intent {
	intent := placecore.Intent{Generation: index.Generation}
	limits := index.Doc.WeightStore.WithDefaults()
	intent.LoadsPerMinute, intent.MaxConcurrentLoads = limits.LoadsPerMinute, limits.MaxConcurrentLoads
	for _, m := range index.Doc.Models {
		model := placecore.Model{Name: m.Name, Version: m.Version, MinReplicas: m.MinReplicas, Pools: m.Pools}
		for _, a := range m.Adapters {
			model.Adapters = append(model.Adapters, a.Name)
		}
		intent.Models = append(intent.Models, model)
	}
	for _, s := range index.Doc.BackendServers {
		if s.Kind == config.KindEngine {
			intent.Engines = append(intent.Engines, placecore.Engine{
				Name: s.Name, Address: s.Address, Pool: s.Pool, MaxModels: s.ModelSlots(), Drained: s.Drained,
			})
		}
	}
	return intent
}

func (c *Controller) reportInterval() time.Duration {
	if c.observed.index == nil {
		return minReportInterval
	}
	return max(minReportInterval, time.Duration(len(c.observed.index.PoolNames()))*reportIntervalPerPool)
}

// collectReports fetches the engine reports from each allocator and passes them to the core.
func (c *Controller) collectReports(ctx context.Context) {
	if c.observed.index == nil {
		return
	}
	for _, address := range c.allocatorAddresses() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		status, err := c.opts.Daemons.Status(ctx, address, &pb.StatusRequest{OmitMembers: true})
		cancel()
		if err != nil {
			c.opts.Log.Warn("status request to allocator failed", "address", address, "err", err)
			continue
		}
		for _, p := range status.GetPools() {
			c.applyPoolStatus(p)
		}
	}
}

// allocatorAddresses returns the distinct addresses of the daemons that allocate at least one pool.
func (c *Controller) allocatorAddresses() []string {
	var daemons []allocator.Daemon
	addresses := map[string]string{}
	for _, m := range c.observed.members {
		if m.GetState() != pb.MemberState_MEMBER_STATE_ALIVE && m.GetState() != pb.MemberState_MEMBER_STATE_SUSPECT {
			continue
		}
		daemons = append(daemons, allocator.Daemon{Name: m.GetName(), Region: m.GetRegion(), FailureDomain: m.GetFailureDomain()})
		addresses[m.GetName()] = m.GetAddress()
	}
	pools := allocator.PoolLocations(c.observed.index)
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

// applyPoolStatus passes the engine reports of a pool to the core.
func (c *Controller) applyPoolStatus(p *pb.PoolStatus) {
	for _, e := range p.GetEngines() {
		ev := placecore.EngineReported{
			Now: c.now() - core.Micros(e.GetReportAgeMicros()), Engine: e.GetName(), State: engine.State(e.GetState()),
			QueuedPrefillTokens: int(e.GetQueuedPrefillTokens()),
		}
		if total := e.GetKvTokensTotal(); total > 0 {
			ev.KVUsedPercent = int(100 * e.GetKvTokensUsed() / total)
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
