package fleet

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"strings"
)

// Metrics returns the counters and gauges of a daemon's /metrics, summed over their labels by name. Buckets and
// quantiles of distributions are left out, because their sums mean nothing.
func (c *Client) Metrics(ctx context.Context, address string) (map[string]float64, error) {
	data, err := c.get(ctx, address, "/metrics")
	if err != nil {
		return nil, err
	}
	return parseMetrics(data), nil
}

// parseMetrics reads the Prometheus text format and passes over lines that do not follow it.
func parseMetrics(data []byte) map[string]float64 {
	out := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		name, labels, value, ok := sample(lines.Text())
		if !ok || strings.Contains(labels, "quantile=") || strings.HasSuffix(name, "_bucket") {
			continue
		}
		out[name] += value
	}
	return out
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
