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

// headerBytes are the IPv4 and UDP headers of a packet.
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

func total(daemons []*daemon) traffic {
	var t traffic
	for _, d := range daemons {
		c := d.udp.Counters()
		t.packets += c.SentPackets
		t.udp += c.SentBytes + headerBytes*c.SentPackets
		t.tcp += d.listener.bytes.Load()
	}
	return t
}

// BenchmarkMembership measures one window of 30 s of steady membership of real shells on loopback sockets in one
// process. Packets and bytes are counted sent and received; TCP bytes are those of full exchanges with TLS, without TCP
// and IP headers. Run with -benchtime 1x.
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
	time.Sleep(window) // updates of the start die out
	for b.Loop() {
		from, cpu := total(daemons), cpuTime(b)
		time.Sleep(window)
		to, used := total(daemons), cpuTime(b)-cpu
		per := func(n uint64) float64 { return 2 * float64(n) / float64(count) / window.Seconds() }
		b.ReportMetric(per(to.packets-from.packets), "packets/s")
		b.ReportMetric(per(to.udp-from.udp), "udp-B/s")
		b.ReportMetric(per(to.tcp-from.tcp), "tcp-B/s")
		b.ReportMetric(100*used.Seconds()/window.Seconds()/float64(count), "cpu-%")
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
