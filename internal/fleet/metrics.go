package fleet

import (
	"bufio"
	"bytes"
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Names of metrics whose labels are evaluated. The gate exports them in internal/gate/metrics.go.
const (
	requestsEndedMetric    = "carobstile_gate_requests_ended"
	firstTokenBucketMetric = "carobstile_gate_first_token_bucket"
)

// Metrics are the metrics of one or more daemons, accumulated since the daemons started.
type Metrics struct {
	// Sums are the counters and gauges by name, summed over all labels. Buckets and quantiles are left out, because their
	// sums have no meaning.
	Sums map[string]float64
	// Ended counts ended requests by result code.
	Ended map[string]float64
	// FirstToken is the distribution of the time to first token in seconds, by length class of the prompt.
	FirstToken map[string]Buckets
}

// Buckets is a cumulative histogram: the number of measurements up to each upper bound in seconds.
type Buckets map[float64]float64

// Count returns the number of measurements.
func (b Buckets) Count() float64 { return b[math.Inf(1)] }

// Quantile returns the smallest bound that at least the given share of the measurements, 0 to 1, does not exceed. It is
// +Inf if no finite bound covers that share, and 0 without measurements.
func (b Buckets) Quantile(share float64) float64 {
	if b.Count() == 0 {
		return 0
	}
	for _, bound := range slices.Sorted(maps.Keys(b)) {
		if b[bound] >= share*b.Count() {
			return bound
		}
	}
	return math.Inf(1)
}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{Sums: map[string]float64{}, Ended: map[string]float64{}, FirstToken: map[string]Buckets{}}
}

// Add adds the metrics of another daemon.
func (m *Metrics) Add(other *Metrics) {
	for name, value := range other.Sums {
		m.Sums[name] += value
	}
	for code, value := range other.Ended {
		m.Ended[code] += value
	}
	for class, buckets := range other.FirstToken {
		for bound, value := range buckets {
			m.addToBucket(class, bound, value)
		}
	}
}

func (m *Metrics) addToBucket(class string, bound, value float64) {
	if m.FirstToken[class] == nil {
		m.FirstToken[class] = Buckets{}
	}
	m.FirstToken[class][bound] += value
}

// Metrics returns a daemon's metrics from its /metrics.
func (c *Client) Metrics(ctx context.Context, address string) (*Metrics, error) {
	data, err := c.get(ctx, address, "/metrics")
	if err != nil {
		return nil, err
	}
	return parseMetrics(data), nil
}

// parseMetrics parses the Prometheus text format and skips malformed lines.
func parseMetrics(data []byte) *Metrics {
	out := NewMetrics()
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if name, labels, value, ok := parseSample(lines.Text()); ok {
			out.add(name, labels, value)
		}
	}
	return out
}

func (m *Metrics) add(name, labels string, value float64) {
	if name == requestsEndedMetric {
		m.Ended[labelValue(labels, "code")] += value
	}
	if name == firstTokenBucketMetric {
		if bound, err := strconv.ParseFloat(labelValue(labels, "le"), 64); err == nil {
			m.addToBucket(labelValue(labels, "class"), bound, value)
		}
	}
	if !strings.Contains(labels, "quantile=") && !strings.HasSuffix(name, "_bucket") {
		m.Sums[name] += value
	}
}

// labelValue returns the value of a label in `a="x",b="y"`, or "". Values must not contain commas or quotes; those of the
// labels in use do not.
func labelValue(labels, name string) string {
	for _, pair := range strings.Split(labels, ",") {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return strings.Trim(value, `"`)
		}
	}
	return ""
}

// parseSample parses a line of the form "name{labels} value [timestamp]". ok is false for comments and malformed lines.
func parseSample(line string) (name, labels string, value float64, ok bool) {
	if line == "" || line[0] == '#' {
		return "", "", 0, false
	}
	rest := line
	if open := strings.IndexByte(line, '{'); open >= 0 {
		end := strings.LastIndexByte(line, '}')
		if end < open {
			return "", "", 0, false
		}
		name, labels, rest = line[:open], line[open+1:end], line[end+1:]
	} else {
		name, rest, _ = strings.Cut(line, " ")
	}
	fields := strings.Fields(rest)
	if name == "" || len(fields) == 0 {
		return "", "", 0, false
	}
	value, err := strconv.ParseFloat(fields[0], 64)
	return name, labels, value, err == nil
}
