package timeline

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func mergeLogs(t require.TestingT, query Query, logs ...string) ([]Event, Stats) {
	var sources []Source
	for i, log := range logs {
		sources = append(sources, Source{Name: fmt.Sprintf("f%d", i), Reader: strings.NewReader(log)})
	}
	var out []Event
	stats, err := Merge(sources, query, func(e Event) error { out = append(out, e); return nil })
	require.NoError(t, err)
	return out, stats
}

// Guards against log lines of evlog, quoted values included, that the timeline cannot parse.
func TestParsesEvlogOutput(t *testing.T) {
	var log bytes.Buffer
	logger := evlog.New(&log, "gate-1", slog.LevelInfo, evlog.NewClock(func() time.Time { return time.UnixMicro(7) }))
	logger.Info("request \"admitted\"", "request", "r 1", "note", "a=b\nc", "empty", "")
	got, stats := mergeLogs(t, Query{Request: "r 1"}, log.String())
	require.Zero(t, stats.Broken)
	require.Equal(t, []Event{{
		HLC: evlog.Timestamp{WallMicros: 7}, Process: "gate-1", Level: "INFO", Message: `request "admitted"`,
		Attrs: []Attr{{"request", "r 1"}, {"note", "a=b\nc"}, {"empty", ""}}, Source: "f0", Line: 1,
	}}, got)
}

// Guards against a malformed line or an unreadable file that hides the rest of the timeline.
func TestBrokenLinesAreSkipped(t *testing.T) {
	log := "msg=a hlc=1.0 request=r\nmsg=\"cut off\npanic: no pairs\nmsg=b request=r\nmsg=c hlc=x request=r\n" +
		strings.Repeat("z", maxLineBytes+1) + "\n\nmsg=d hlc=2.0 request=r"
	got, stats := mergeLogs(t, Query{Request: "r"}, log)
	require.Len(t, got, 2)
	require.Equal(t, 8, got[1].Line)
	require.Equal(t, 5, stats.Broken)

	failing := io.MultiReader(strings.NewReader("msg=a hlc=1.0 request=r\n"), iotest.ErrReader(io.ErrUnexpectedEOF))
	stats, err := Merge([]Source{{Name: "f", Reader: failing}}, Query{}, func(Event) error { return nil })
	require.NoError(t, err)
	require.Equal(t, Stats{
		Lines: 1, Matched: 1, Broken: 1,
		Problems: []Problem{{Source: "f", Line: 1, Message: "read: unexpected EOF"}},
	}, stats)
}

// Guards against a query that returns events of other requests or objects, or misses matching events.
func TestQuerySelects(t *testing.T) {
	log := "msg=a hlc=1.0 request=r1\nmsg=b hlc=2.0 request=r2 engine=e1\nmsg=c hlc=3.0 object=claims/1\nmsg=d hlc=4.0 process=p\n"
	for query, want := range map[Query]string{
		{Request: "r1"}:                    "a",
		{Object: "e1"}:                     "b",
		{Object: "p"}:                      "d",
		{Request: "r1", Object: "e1"}:      "ab",
		{Object: "claims/1"}:               "c",
		{}:                                 "abcd",
		{Request: "none", Object: "r1"}:    "",
		{Request: "", Object: "claims/12"}: "",
	} {
		got, _ := mergeLogs(t, query, log)
		var text string
		for _, e := range got {
			text += e.Message
		}
		require.Equal(t, want, text, "%+v", query)
	}
}

// Guards against a timeline in which an effect precedes its cause, for any distribution of events over files and for
// lines displaced by less than reorderWindow.
func TestOrderIsCausal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 600).Draw(t, "events")
		logs := make([][]string, rapid.IntRange(1, 5).Draw(t, "files"))
		for i := range n {
			f := rapid.IntRange(0, len(logs)-1).Draw(t, "file")
			logs[f] = append(logs[f], fmt.Sprintf("msg=%d hlc=%d.%d\n", i, i/3, i%3))
		}
		for _, log := range logs {
			for i := 0; i+1 < len(log); i += 2 {
				if rapid.Bool().Draw(t, "swap") {
					log[i], log[i+1] = log[i+1], log[i]
				}
			}
		}
		var texts []string
		for _, log := range logs {
			texts = append(texts, strings.Join(log, ""))
		}
		got, stats := mergeLogs(t, Query{}, texts...)
		require.Len(t, got, n)
		require.Zero(t, stats.OutOfOrder)
		for i, e := range got {
			require.Equal(t, fmt.Sprint(i), e.Message)
		}
	})
}

// Guards against parse errors caused by the prefix that a log collector puts before each line.
func TestCollectorPrefixesAreSkipped(t *testing.T) {
	log := "  -3.5 host-1 time=2026-01-01T00:00:00Z level=INFO msg=\"request ended\" process=a request=r hlc=5.0\n" +
		"a=b time=2026-01-01T00:00:00Z msg=x request=r hlc=6.0\n"
	got, stats := mergeLogs(t, Query{Request: "r"}, log)
	require.Zero(t, stats.Broken)
	require.Len(t, got, 2)
	require.Equal(t, "a", got[0].Process)
	value, ok := got[1].Attr("a")
	require.True(t, ok)
	require.Equal(t, "b", value)
}

// Guards against an explanation that omits the reason, the servers tried or their failures.
func TestExplanation(t *testing.T) {
	log := `msg="server failed a request" process=d1 request=r server=s1 fault=broken hlc=2.0
msg="request placed" process=d1 request=r server=s1 try=1 hlc=3.0
msg="request ended" process=d1 request=r status=502 reason="servers failed the request: EOF" ms=12 sends=1 hlc=4.0
`
	var x Explanation
	require.Contains(t, x.String(), "no log line has this request id")
	events, _ := mergeLogs(t, Query{Request: "r"}, log)
	for _, e := range events {
		x.Add(e)
	}
	require.Equal(t, "status 502 on d1 after 12 ms and 1 sends; because servers failed the request: EOF; placed on s1; "+
		"failed by s1 (broken)", x.String())
}
