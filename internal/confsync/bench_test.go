package confsync

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/platform"
)

const designWorkspaces = 14_000

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func liveMemory() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// BenchmarkChange measures how long a change of one workspace takes until it is in force at all daemons, from the write
// of the root on, with real shells on loopback sockets in one process and a store in memory. TCP bytes are those of
// FetchConfig with TLS, sent and received per daemon and change, without TCP and IP headers. Run with -benchtime 10x.
func BenchmarkChange(b *testing.B) {
	for _, size := range []struct{ daemons, workspaces int }{{12, 200}, {48, 200}, {120, 200}, {360, 200}, {12, designWorkspaces}} {
		b.Run(fmt.Sprintf("daemons=%d/workspaces=%d", size.daemons, size.workspaces), func(b *testing.B) {
			measureChange(b, size.daemons, size.workspaces)
		})
	}
}

func measureChange(b *testing.B, daemons, workspaces int) {
	c := newCluster(b)
	c.store.apply(b, 1, document(workspaces, 1))
	c.start(b, daemons)
	c.requireAll(b, 1, 2*time.Minute)
	require.Eventually(b, func() bool { return c.allKnow(daemons) }, 2*time.Minute, 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	var worst, sum time.Duration
	var used time.Duration
	var bytes uint64
	generation := uint64(1)
	for b.Loop() {
		generation++
		doc := document(workspaces, int(generation))
		cpu, tcp := cpuTime(b), c.bytes.Load()
		c.store.apply(b, generation, doc)
		took := c.requireAll(b, generation, 10*time.Second)
		used += cpuTime(b) - cpu
		bytes += c.bytes.Load() - tcp
		worst, sum = max(worst, took), sum+took
		time.Sleep(time.Second)
	}
	n := float64(b.N)
	b.ReportMetric(sum.Seconds()/n, "mean-s")
	b.ReportMetric(worst.Seconds(), "worst-s")
	b.ReportMetric(2*float64(bytes)/n/float64(daemons), "tcp-B/change")
	b.ReportMetric(1000*used.Seconds()/n/float64(daemons), "cpu-ms/change")
	b.ReportMetric(0, "ns/op")
}

func (c *cluster) allKnow(count int) bool {
	for _, d := range c.daemons {
		if len(d.members.Members()) != count {
			return false
		}
	}
	return true
}

// BenchmarkAdopt measures what one change of one workspace among 14,000 costs a daemon: bytes of root and changed chunk,
// CPU to assemble document and index, and memory held afterwards.
func BenchmarkAdopt(b *testing.B) {
	store := newMemoryStore()
	store.apply(b, 1, document(designWorkspaces, 1))
	c := newCache()
	load(b, store, c)
	chunkBytes := 0
	for _, chunk := range c.chunks {
		chunkBytes += len(chunk)
	}
	before := liveMemory()
	index, err := c.build(1)
	require.NoError(b, err)
	held := liveMemory() - before
	known := len(store.objects)
	store.apply(b, 2, document(designWorkspaces, 2))
	changed := load(b, store, c)
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.build(2)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(store.objects)-known), "new-chunks")
	b.ReportMetric(float64(changed), "new-chunk-B")
	b.ReportMetric(float64(len(store.objects[platform.KindConfig+"/"+config.RootName].Value)), "root-B")
	b.ReportMetric(float64(chunkBytes), "all-chunks-B")
	b.ReportMetric(float64(held), "doc+index-B")
	runtime.KeepAlive(index)
}

// load puts the root of the store and the chunks that are missing into a cache and returns the bytes of these chunks.
func load(b *testing.B, store *memoryStore, c *cache) int {
	b.Helper()
	root, err := parseRoot(store.objects[platform.KindConfig+"/"+config.RootName].Value)
	require.NoError(b, err)
	c.addRoot(root)
	c.aim(root.parsed.Generation)
	bytes := 0
	for _, hash := range root.hashes {
		if _, ok := c.chunk(hash); !ok {
			chunk := store.objects[platform.KindConfigChunk+"/"+hash].Value
			c.addChunk(hash, chunk)
			bytes += len(chunk)
		}
	}
	c.settle(root.parsed.Generation)
	return bytes
}
