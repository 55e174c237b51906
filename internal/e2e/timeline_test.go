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

// requestStory returns the events of a request in the order of the merged time line, as "<kind of process>: <message>".
func (d *deployment) requestStory(id string) (story []string, events []timeline.Event) {
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
		story, events = append(story, kind+": "+e.Message), append(events, e)
		return nil
	})
	require.NoError(d.t, err)
	require.Zero(d.t, stats.OutOfOrder)
	return story, events
}

// requestOf returns the id of the only request that a gate has received.
func (d *deployment) requestOf(gate string) string {
	_, events := d.requestStory("")
	for _, e := range events {
		if e.Process == gate && e.Message == "request received" {
			id, _ := e.Attr(evlog.KeyRequest)
			return id
		}
	}
	d.t.Fatalf("%s has received no request", gate)
	return ""
}

// requireInOrder checks that the events occur in this order, with others between them.
func requireInOrder(t *testing.T, story []string, wanted ...string) {
	t.Helper()
	at := 0
	for _, e := range story {
		if at < len(wanted) && e == wanted[at] {
			at++
		}
	}
	if at < len(wanted) {
		t.Fatalf("%q is missing or too early in the time line:\n%s", wanted[at], strings.Join(story, "\n"))
	}
}

// Guards against a time line that lacks a step of a request or shows an effect before its cause, when an engine dies in
// mid-stream, then the gate, and the caller goes on at another gate.
func TestTimelineTellsARetryAcrossEnginesAndGates(t *testing.T) {
	d := start(t, nil)
	prompt := "the story of one request"
	var engine, gate sync.Once
	first := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 30 {
			engine.Do(func() { d.kill(d.busyEngine()) })
		}
		if n > 120 {
			gate.Do(func() { d.kill(d.Hosts[0].Name) })
		}
	})
	require.False(t, first.complete)
	rest := chat(requestContext(t), d.Hosts[1].Caller, devdeploy.CallerKey, prompt, answerTokens, first.lastID, nil)
	require.True(t, rest.complete, "%d %s %s", rest.status, rest.errorCode, rest.body)
	require.Equal(t, expected(prompt, answerTokens), first.text()+rest.text())

	id := d.requestOf(d.Hosts[0].Name)
	var story []string
	require.Eventually(t, func() bool { // the last line follows the last byte
		story, _ = d.requestStory(id)
		return len(story) > 0 && story[len(story)-1] == "host: request ended"
	}, 5*time.Second, poll)
	attempt := []string{
		"host: grant asked", "host: granted", "host: grant accepted", "host: attempt dispatched", "fakeengine: request accepted",
	}
	wanted := append([]string{"host: request received"}, attempt...)
	wanted = append(append(wanted, "host: attempt ended"), attempt...)
	wanted = append(append(wanted, "host: request resumed"), attempt...)
	requireInOrder(t, story, append(wanted, "host: request ended")...)
	for _, path := range []string{d.Hosts[0].Name, d.Hosts[1].Name} {
		text, err := os.ReadFile(filepath.Join(d.Dir, path+".log"))
		require.NoError(t, err)
		require.NotContains(t, string(text), prompt)
		require.NotContains(t, string(text), devdeploy.CallerKey)
	}
}
