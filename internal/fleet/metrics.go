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

// Names of metrics that are read by their labels. The gate exports them, in internal/gate/tally.go.
const (
	endedMetric      = "carobstile_gate_requests_ended"
	firstTokenBucket = "carobstile_gate_first_token_bucket"
)

// Metrics are the metrics of one or several daemons since their start.
type Metrics struct {
	// Sums are counters and gauges, summed over their labels by name. Buckets and quantiles of distributions are left out,
	// because their sums mean nothing.
	Sums map[string]float64
	// Ended counts ended requests by code.
	Ended map[string]float64
	// FirstToken is the time to first token by length class of the prompt.
	FirstToken map[string]Buckets
}

// Buckets count measurements by the upper bound in seconds that they do not exceed.
type Buckets map[float64]float64

// Count is the number of measurements.
func (b Buckets) Count() float64 { return b[math.Inf(1)] }

// Quantile returns the smallest bound that the given share of the measurements, 0 to 1, does not exceed. It is +Inf when
// the share is above the largest bound, and 0 without measurements.
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

// NewMetrics returns metrics without any value.
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
			m.observe(class, bound, value)
		}
	}
}

func (m *Metrics) observe(class string, bound, value float64) {
	if m.FirstToken[class] == nil {
		m.FirstToken[class] = Buckets{}
	}
	m.FirstToken[class][bound] += value
}

// Metrics returns the metrics of a daemon from its /metrics.
func (c *Client) Metrics(ctx context.Context, address string) (*Metrics, error) {
	data, err := c.get(ctx, address, "/metrics")
	if err != nil {
		return nil, err
	}
	return parseMetrics(data), nil
}

// parseMetrics reads the Prometheus text format and passes over lines that do not follow it.
func parseMetrics(data []byte) *Metrics {
	out := NewMetrics()
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if name, labels, value, ok := sample(lines.Text()); ok {
			out.add(name, labels, value)
		}
	}
	return out
}

func (m *Metrics) add(name, labels string, value float64) {
	if name == endedMetric {
		m.Ended[label(labels, "code")] += value
	}
	if name == firstTokenBucket {
		if bound, err := strconv.ParseFloat(label(labels, "le"), 64); err == nil {
			m.observe(label(labels, "class"), bound, value)
		}
	}
	if !strings.Contains(labels, "quantile=") && !strings.HasSuffix(name, "_bucket") {
		m.Sums[name] += value
	}
}

// label returns the value of a label in `a="x",b="y"`. Values of the labels in use hold no quotes.
func label(labels, name string) string {
	for _, pair := range strings.Split(labels, ",") {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return strings.Trim(value, `"`)
		}
	}
	return ""
}

// sample splits "name{labels} value [timestamp]".
func sample(line string) (name, labels string, value float64, ok bool) {
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
