package forward

import (
	"net/http"
	"sync"

	"github.com/uber-go/tally/v4"
)

// Names of the counters of requests by workspace, without the prefix of all metrics. carobctl workspaces sums them.
const (
	WorkspaceReceived = "workspace_received"
	WorkspaceServed   = "workspace_served"
	WorkspaceLate     = "workspace_late"
	WorkspaceRefused  = "workspace_refused"
)

const (
	// maxWorkspaceLabels bounds the workspaces with counters of their own, since the names come from the configuration and a
	// process never removes a counter. Later workspaces are counted under otherWorkspaces.
	maxWorkspaceLabels = 256
	otherWorkspaces    = "_other_"
)

// workspaceMetrics counts requests by workspace. Requests without a workspace are not counted.
type workspaceMetrics struct {
	scope  tally.Scope
	mu     sync.Mutex
	byName map[string]*workspaceCounters
}

type workspaceCounters struct {
	received, served, late, refused tally.Counter
}

func newWorkspaceMetrics(scope tally.Scope) *workspaceMetrics {
	return &workspaceMetrics{scope: scope, byName: map[string]*workspaceCounters{}}
}

func (m *workspaceMetrics) counters(name string) *workspaceCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.byName[name]
	if c == nil && len(m.byName) >= maxWorkspaceLabels {
		name = otherWorkspaces
		c = m.byName[name]
	}
	if c == nil {
		scope := m.scope.Tagged(map[string]string{"workspace": name})
		c = &workspaceCounters{
			received: scope.Counter(WorkspaceReceived), served: scope.Counter(WorkspaceServed),
			late: scope.Counter(WorkspaceLate), refused: scope.Counter(WorkspaceRefused),
		}
		m.byName[name] = c
	}
	return c
}

func (m *workspaceMetrics) recordReceived(name string) { m.counters(name).received.Inc(1) }

func (m *workspaceMetrics) recordEnd(q *request, status int) {
	if q.workspace == nil {
		return
	}
	c := m.counters(q.workspace.Name)
	shortfall := q.shortfall(status)
	switch {
	case shortfall == shortfallRefused:
		c.refused.Inc(1)
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		c.served.Inc(1)
		if shortfall != shortfallNone {
			c.late.Inc(1)
		}
	}
}
