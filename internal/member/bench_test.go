package member

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/membercore"
)

// headerBytes is the size of the IPv4 and UDP headers of a packet.
const headerBytes = 28

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
	return stats.HeapInuse + stats.StackInuse
}

type traffic struct{ packets, udp, tcp uint64 }

func totalTraffic(daemons []*daemon) traffic {
	var t traffic
	for _, d := range daemons {
		c := d.udp.Counters()
		t.packets += c.SentPackets
		t.udp += c.SentBytes + headerBytes*c.SentPackets
		t.tcp += d.listener.bytes.Load()
	}
	return t
}

// BenchmarkMembership measures the steady state of a cluster over 30 s, with all daemons in one process on loopback
// sockets. Packets and bytes per member count both directions. TCP bytes are those of full exchanges including TLS, but
// without TCP and IP headers. Run with -benchtime 1x.
func BenchmarkMembership(b *testing.B) {
	for _, count := range []int{12, 48, 120, 360} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) { measureMembership(b, count) })
	}
}

func measureMembership(b *testing.B, count int) {
	const window = 30 * time.Second
	before := liveMemory()
	start := time.Now()
	daemons := startDaemons(b, newSecrets(b), count)
	requireAgreement(b, daemons, membercore.Alive, count, 2*time.Minute)
	joined := time.Since(start)
	time.Sleep(window) // wait until the join updates are no longer retransmitted
	for b.Loop() {
		from, cpuBefore := totalTraffic(daemons), cpuTime(b)
		time.Sleep(window)
		to, cpuUsed := totalTraffic(daemons), cpuTime(b)-cpuBefore
		perMemberSecond := func(n uint64) float64 { return 2 * float64(n) / float64(count) / window.Seconds() }
		b.ReportMetric(perMemberSecond(to.packets-from.packets), "packets/s")
		b.ReportMetric(perMemberSecond(to.udp-from.udp), "udp-B/s")
		b.ReportMetric(perMemberSecond(to.tcp-from.tcp), "tcp-B/s")
		b.ReportMetric(100*cpuUsed.Seconds()/window.Seconds()/float64(count), "cpu-%")
	}
	b.ReportMetric(joined.Seconds(), "join-s")
	b.ReportMetric(float64(liveMemory()-before)/float64(count)/1024, "KiB")
	start = time.Now()
	daemons[count/2].stop()
	rest := append(append([]*daemon(nil), daemons[:count/2]...), daemons[count/2+1:]...)
	requireAgreement(b, rest, membercore.Dead, 1, time.Minute)
	b.ReportMetric(time.Since(start).Seconds(), "detect-all-s")
	b.ReportMetric(0, "ns/op")
}
