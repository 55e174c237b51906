package load

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"sort"
	"strconv"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Slowdown compares the latencies of the short requests of a run with those of a baseline run. The values are ratios of
// run to baseline: 1 means equally fast, 2 twice as slow.
type Slowdown struct {
	Baseline string `json:"baseline"`
	// Matched is the number of requests that are complete in both runs, matched by request ID.
	Matched int `json:"matched"`
	// Total and First are percentiles of the ratio of each matched request (its latency in the run divided by its
	// latency in the baseline), for the whole answer and for the first token.
	Total Ratios `json:"total"`
	First Ratios `json:"first"`
	// TotalQuantiles and FirstQuantiles are the ratios between the same percentiles of the two latency distributions.
	TotalQuantiles Ratios `json:"totalQuantiles"`
	FirstQuantiles Ratios `json:"firstQuantiles"`
}

// Ratios holds latency ratios at the 50th, 95th and 99th percentile.
type Ratios struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// NewSlowdown compares a run with the baseline run of the given name. It returns nil if no short request is complete in
// both.
func NewSlowdown(r, base *Result, name string) *Slowdown {
	baselineByID := map[string]Sample{}
	for _, s := range base.Short {
		baselineByID[s.ID] = s
	}
	var total, first []float64
	for _, s := range r.Short {
		if b, ok := baselineByID[s.ID]; ok && b.TotalMicros > 0 && b.FirstMicros > 0 {
			total = append(total, float64(s.TotalMicros)/float64(b.TotalMicros))
			first = append(first, float64(s.FirstMicros)/float64(b.FirstMicros))
		}
	}
	current, baseline := r.Lengths[LengthShort], base.Lengths[LengthShort]
	if len(total) == 0 || current == nil || baseline == nil {
		return nil
	}
	return &Slowdown{
		Baseline: name, Matched: len(total), Total: percentiles(total), First: percentiles(first),
		TotalQuantiles: quantiles(current.Total, baseline.Total),
		FirstQuantiles: quantiles(current.FirstToken, baseline.FirstToken),
	}
}

func percentiles(values []float64) Ratios {
	sort.Float64s(values)
	at := func(q float64) float64 { return values[int(math.Ceil(q*float64(len(values))))-1] }
	return Ratios{P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

func quantiles(a, b Series) Ratios {
	return Ratios{P50: ratio(a.P50Ms, b.P50Ms), P95: ratio(a.P95Ms, b.P95Ms), P99: ratio(a.P99Ms, b.P99Ms)}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// NamedResult is a result with its display name.
type NamedResult struct {
	Name string
	*Result
}

var lengthOrder = []string{LengthShort, LengthMedium, LengthLong, LengthService}

// Table writes the results side by side. The slowdown of the first result is the one that its run recorded against its
// own baseline; all others are computed against the first result.
func Table(w io.Writer, results []NamedResult) error {
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tab, "length, ms\tresult\trequests\tcomplete\twrong\tttft p50\tp95\tp99\tbetween p50\tp95\tp99\ttotal p95")
	for _, length := range lengthOrder {
		for _, r := range results {
			if l, ok := r.Lengths[length]; ok {
				lengthRow(tab, length, r.Name, l)
			}
		}
	}
	fmt.Fprintln(tab, "\nshort, slowdown\tagainst\tmatched\ttotal p50\tp95\tp99\tttft p50\tp95\tp99")
	for i, r := range results {
		slowdown := r.Slowdown
		if i > 0 {
			slowdown = NewSlowdown(r.Result, results[0].Result, results[0].Name)
		}
		slowdownRow(tab, r.Name, slowdown)
	}
	fmt.Fprintln(tab, "\nresult\toutcome\trequests")
	for _, r := range results {
		outcomeRows(tab, r)
	}
	return tab.Flush()
}

func slowdownRow(w io.Writer, name string, s *Slowdown) {
	if s == nil {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, s.Baseline, s.Matched,
		s.Total.P50, s.Total.P95, s.Total.P99, s.First.P50, s.First.P95, s.First.P99)
}

func lengthRow(w io.Writer, length, name string, l *LengthResult) {
	wrong := l.Outcomes[OutcomeWrong] + l.Outcomes[OutcomeIncomplete] + l.Outcomes[OutcomeUnverified]
	f, b := l.FirstToken, l.Between
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\n", length, name, l.Requests,
		l.Outcomes[OutcomeComplete], wrong, f.P50Ms, f.P95Ms, f.P99Ms, b.P50Ms, b.P95Ms, b.P99Ms, l.Total.P95Ms)
}

func outcomeRows(w io.Writer, r NamedResult) {
	var names []string
	for name := range r.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%s\t%d\n", r.Name, name, r.Outcomes[name])
	}
}

// Plots writes one percentile plot for each latency measure and prompt length class to dir and returns the file paths.
// format is "svg" or "png".
func Plots(dir, format string, results []NamedResult) ([]string, error) {
	var paths []string
	for _, m := range []struct {
		name, title string
		series      func(*LengthResult) Series
	}{
		{"ttft", "time to first token", func(l *LengthResult) Series { return l.FirstToken }},
		{"between", "time between tokens", func(l *LengthResult) Series { return l.Between }},
	} {
		for _, length := range lengthOrder[:3] {
			p, err := percentilePlot(m.title+", "+length+" prompts", length, m.series, results)
			if err != nil {
				return paths, err
			}
			if p == nil {
				continue
			}
			path := filepath.Join(dir, m.name+"-"+length+"."+format)
			if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
				return paths, err
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

// percentilePlot plots latency by percentile. Both axes are logarithmic to keep the tail readable. It returns nil if no
// result has values.
func percentilePlot(title, length string, series func(*LengthResult) Series, results []NamedResult) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "percentile", "ms"
	p.X.Scale, p.Y.Scale = plot.InvertedScale{Normalizer: plot.LogScale{}}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = percentileTicks, plot.TickerFunc(latencyTicks)
	p.Add(plotter.NewGrid())
	p.Legend.Top, p.Legend.Left = true, true
	drawn := false
	for i, r := range results {
		l, ok := r.Lengths[length]
		if !ok || series(l).Count == 0 {
			continue
		}
		h, err := series(l).Decode()
		if err != nil {
			return nil, err
		}
		line, err := plotter.NewLine(percentileCurve(h))
		if err != nil {
			return nil, err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Name, line)
		drawn = true
	}
	if !drawn {
		return nil, nil
	}
	return p, nil
}

// percentileTicks labels the X axis: Value is the share of requests above the percentile in Label.
var percentileTicks = plot.ConstantTicks{
	{Value: 0.9, Label: "p10"},
	{Value: 0.5, Label: "p50"},
	{Value: 0.1, Label: "p90"},
	{Value: 0.05, Label: "p95"},
	{Value: 0.01, Label: "p99"},
	{Value: 0.001, Label: "p99.9"},
	{Value: 0.0001, Label: "p99.99"},
}

// latencyTicks returns ticks at 1, 2 and 5 times each power of ten from low to high.
func latencyTicks(low, high float64) []plot.Tick {
	var out []plot.Tick
	for power := math.Pow(10, math.Floor(math.Log10(low))); power <= high; power *= 10 {
		for _, digit := range []float64{1, 2, 5} {
			if v := digit * power; v >= low && v <= high {
				out = append(out, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'g', 6, 64)})
			}
		}
	}
	return out
}

// curvePoints is the number of points of a curve. They are spaced evenly over the logarithm of the share of requests
// above the percentile.
const curvePoints = 200

func percentileCurve(h *hdrhistogram.Histogram) plotter.XYs {
	smallestShare := math.Min(0.5, 1/float64(h.TotalCount()))
	out := make(plotter.XYs, curvePoints)
	for i := range out {
		shareAbove := math.Pow(smallestShare, float64(i+1)/curvePoints)
		out[i].X = shareAbove
		out[i].Y = float64(max(1, h.ValueAtQuantile(100*(1-shareAbove)))) / 1e3
	}
	return out
}
