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

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// BenchmarkChange measures the time from writing the root of a change of one workspace until the change is active at
// all daemons, which run in one process on loopback sockets with a store in memory. tcp-B/change counts the bytes of
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
	c.waitForGeneration(b, 1, 2*time.Minute)
	require.Eventually(b, func() bool { return c.allHaveMembers(daemons) }, 2*time.Minute, 50*time.Millisecond)
	time.Sleep(5 * time.Second)
	var worst, sum time.Duration
	var cpuUsed time.Duration
	var bytes uint64
	generation := uint64(1)
	for b.Loop() {
		generation++
		doc := document(workspaces, int(generation))
		cpu, tcp := cpuTime(b), c.bytes.Load()
		c.store.apply(b, generation, doc)
		took := c.waitForGeneration(b, generation, 10*time.Second)
		cpuUsed += cpuTime(b) - cpu
		bytes += c.bytes.Load() - tcp
		worst, sum = max(worst, took), sum+took
		time.Sleep(time.Second)
	}
	n := float64(b.N)
	b.ReportMetric(sum.Seconds()/n, "mean-s")
	b.ReportMetric(worst.Seconds(), "worst-s")
	b.ReportMetric(2*float64(bytes)/n/float64(daemons), "tcp-B/change")
	b.ReportMetric(1000*cpuUsed.Seconds()/n/float64(daemons), "cpu-ms/change")
	b.ReportMetric(0, "ns/op")
}

func (c *cluster) allHaveMembers(count int) bool {
	for _, d := range c.daemons {
		if len(d.members.Members()) != count {
			return false
		}
	}
	return true
}

// BenchmarkAdopt measures the cost for one daemon of changing one workspace among 14,000: bytes of the root and the
// changed chunk, CPU time to assemble the document and its index, and memory held afterwards.
func BenchmarkAdopt(b *testing.B) {
	store := newMemoryStore()
	store.apply(b, 1, document(designWorkspaces, 1))
	c := newCache()
	loadCache(b, store, c)
	chunkBytes := 0
	for _, chunk := range c.chunks {
		chunkBytes += len(chunk)
	}
	before := heapInUse()
	index, err := c.build(1)
	require.NoError(b, err)
	held := heapInUse() - before
	known := len(store.objects)
	store.apply(b, 2, document(designWorkspaces, 2))
	changed := loadCache(b, store, c)
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

// loadCache loads the store's root and the chunks missing from a cache, activates the root, and returns the total size
// of the loaded chunks in bytes.
func loadCache(b *testing.B, store *memoryStore, c *cache) int {
	b.Helper()
	root, err := parseRoot(store.objects[platform.KindConfig+"/"+config.RootName].Value)
	require.NoError(b, err)
	c.addRoot(root)
	c.setTarget(root.parsed.Generation)
	bytes := 0
	for _, hash := range root.hashes {
		if _, ok := c.chunk(hash); !ok {
			chunk := store.objects[platform.KindConfigChunk+"/"+hash].Value
			c.addChunk(hash, chunk)
			bytes += len(chunk)
		}
	}
	c.activate(root.parsed.Generation)
	return bytes
}
