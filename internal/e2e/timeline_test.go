package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/timeline"
)

// mergedEvents returns the events of a request in the order of the timeline that is merged from all logs. Each step is
// "<kind of process>: <message>". An empty id selects the events of all requests.
func (d *deployment) mergedEvents(id string) (steps []string, events []timeline.Event) {
	paths, err := filepath.Glob(filepath.Join(d.Dir, "*.log"))
	require.NoError(d.t, err)
	var sources []timeline.Source
	for _, path := range paths {
		file, err := os.Open(path)
		require.NoError(d.t, err)
		defer file.Close()
		sources = append(sources, timeline.Source{Name: path, Reader: file})
	}
	stats, err := timeline.Merge(sources, timeline.Query{Request: id}, func(e timeline.Event) error {
		kind, _, _ := strings.Cut(e.Process, "-")
		steps, events = append(steps, kind+": "+e.Message), append(events, e)
		return nil
	})
	require.NoError(d.t, err)
	require.Zero(d.t, stats.OutOfOrder)
	return steps, events
}

// onlyRequestOf returns the ID of the only request that a gate has received.
func (d *deployment) onlyRequestOf(gate string) string {
	_, events := d.mergedEvents("")
	for _, e := range events {
		if e.Process == gate && e.Message == "request received" {
			id, _ := e.Attr(evlog.KeyRequest)
			return id
		}
	}
	d.t.Fatalf("%s has logged no received request", gate)
	return ""
}

// requireSubsequence checks that the wanted steps occur in this order, possibly with others in between.
func requireSubsequence(t *testing.T, steps []string, wanted ...string) {
	t.Helper()
	found := 0
	for _, e := range steps {
		if found < len(wanted) && e == wanted[found] {
			found++
		}
	}
	if found < len(wanted) {
		t.Fatalf("%q is missing or out of order in the timeline:\n%s", wanted[found], strings.Join(steps, "\n"))
	}
}

// Guards against a timeline that omits a step of a request or shows an effect before its cause. The engine crashes in
// mid-stream, then the gate crashes, and the caller resumes at another gate.
func TestTimelineShowsRetriesAcrossEnginesAndGates(t *testing.T) {
	d := startDeployment(t, nil)
	prompt := "the story of one request"
	var killEngine, killGate sync.Once
	first := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 30 {
			killEngine.Do(func() { d.kill(d.busyEngine()) })
		}
		if n > 120 {
			killGate.Do(func() { d.kill(d.Hosts[0].Name) })
		}
	})
	require.False(t, first.complete)
	resumed := chat(requestContext(t), d.Hosts[1].Caller, devdeploy.CallerKey, prompt, answerTokens, first.lastID, nil)
	require.True(t, resumed.complete, "%d %s %s", resumed.status, resumed.errorCode, resumed.body)
	require.Equal(t, expectedAnswer(prompt, answerTokens), first.text()+resumed.text())

	id := d.onlyRequestOf(d.Hosts[0].Name)
	var steps []string
	require.Eventually(t, func() bool { // the gate logs the end of the request after it sends the last byte
		steps, _ = d.mergedEvents(id)
		return len(steps) > 0 && steps[len(steps)-1] == "host: request ended"
	}, 5*time.Second, pollInterval)
	attempt := []string{
		"host: grant asked", "host: granted", "host: grant accepted", "host: attempt dispatched",
		"fakeengine: request accepted",
	}
	wanted := append([]string{"host: request received"}, attempt...)
	wanted = append(append(wanted, "host: attempt ended"), attempt...)
	wanted = append(append(wanted, "host: request resumed"), attempt...)
	requireSubsequence(t, steps, append(wanted, "host: request ended")...)
	for _, path := range []string{d.Hosts[0].Name, d.Hosts[1].Name} {
		text, err := os.ReadFile(filepath.Join(d.Dir, path+".log"))
		require.NoError(t, err)
		require.NotContains(t, string(text), prompt)
		require.NotContains(t, string(text), devdeploy.CallerKey)
	}
}
