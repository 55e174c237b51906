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

// Slowdown compares the short requests of a run with those of a baseline, as ratios. 1 means as fast.
type Slowdown struct {
	Baseline string `json:"baseline"`
	// Matched is the number of requests that are complete in both runs, told by their ids.
	Matched int `json:"matched"`
	// Requests are percentiles over the matched requests of (latency here / latency in the baseline).
	Total Ratios `json:"total"`
	First Ratios `json:"first"`
	// Quantiles compare the same percentile of both distributions.
	TotalQuantiles Ratios `json:"totalQuantiles"`
	FirstQuantiles Ratios `json:"firstQuantiles"`
}

// Ratios are ratios at percentiles.
type Ratios struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// NewSlowdown compares a run with a baseline. It returns nil when the runs have no short request in common.
func NewSlowdown(r, base *Result, name string) *Slowdown {
	before := map[string]Sample{}
	for _, s := range base.Short {
		before[s.ID] = s
	}
	var total, first []float64
	for _, s := range r.Short {
		if b, ok := before[s.ID]; ok && b.TotalMicros > 0 && b.FirstMicros > 0 {
			total = append(total, float64(s.TotalMicros)/float64(b.TotalMicros))
			first = append(first, float64(s.FirstMicros)/float64(b.FirstMicros))
		}
	}
	here, there := r.Lengths[LengthShort], base.Lengths[LengthShort]
	if len(total) == 0 || here == nil || there == nil {
		return nil
	}
	return &Slowdown{
		Baseline: name, Matched: len(total), Total: percentiles(total), First: percentiles(first),
		TotalQuantiles: quantiles(here.Total, there.Total),
		FirstQuantiles: quantiles(here.FirstToken, there.FirstToken),
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

// Named is a result with the name it is shown under.
type Named struct {
	Name string
	*Result
}

var lengthOrder = []string{LengthShort, LengthMedium, LengthLong, LengthService}

// Table writes the results side by side. Slowdowns are against the first result; the first one's own is against the
// baseline of its run.
func Table(w io.Writer, results []Named) error {
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tab, "length, ms\tresult\trequests\tcomplete\twrong\tttft p50\tp95\tp99\tbetween p50\tp95\tp99\ttotal p95")
	for _, length := range lengthOrder {
		for _, r := range results {
			if l, ok := r.Lengths[length]; ok {
				row(tab, length, r.Name, l)
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
		outcomes(tab, r)
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

func row(w io.Writer, length, name string, l *LengthResult) {
	wrong := l.Outcomes[OutcomeWrong] + l.Outcomes[OutcomeIncomplete] + l.Outcomes[OutcomeUnverified]
	f, b := l.FirstToken, l.Between
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\n", length, name, l.Requests,
		l.Outcomes[OutcomeComplete], wrong, f.P50Ms, f.P95Ms, f.P99Ms, b.P50Ms, b.P95Ms, b.P99Ms, l.Total.P95Ms)
}

func outcomes(w io.Writer, r Named) {
	var names []string
	for name := range r.Outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(w, "%s\t%s\t%d\n", r.Name, name, r.Outcomes[name])
	}
}

// Plots writes one distribution plot for each measure and length class to dir and returns the paths. format is "svg"
// or "png".
func Plots(dir, format string, results []Named) ([]string, error) {
	var paths []string
	for _, m := range []struct {
		name, title string
		pick        func(*LengthResult) Series
	}{
		{"ttft", "time to first token", func(l *LengthResult) Series { return l.FirstToken }},
		{"between", "time between tokens", func(l *LengthResult) Series { return l.Between }},
	} {
		for _, length := range lengthOrder[:3] {
			p, err := cdf(m.title+", "+length+" prompts", length, m.pick, results)
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

// cdf draws the latency at each percentile, with both axes logarithmic so that the tail can be read. It returns nil
// when no result has values.
func cdf(title, length string, pick func(*LengthResult) Series, results []Named) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "percentile", "ms"
	p.X.Scale, p.Y.Scale = plot.InvertedScale{Normalizer: plot.LogScale{}}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = shareTicks, plot.TickerFunc(latencyTicks)
	p.Add(plotter.NewGrid())
	p.Legend.Top, p.Legend.Left = true, true
	drawn := false
	for i, r := range results {
		l, ok := r.Lengths[length]
		if !ok || pick(l).Count == 0 {
			continue
		}
		h, err := pick(l).Decode()
		if err != nil {
			return nil, err
		}
		line, err := plotter.NewLine(curve(h))
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

// shareTicks label the share above a percentile with the percentile.
var shareTicks = plot.ConstantTicks{
	{Value: 0.9, Label: "p10"},
	{Value: 0.5, Label: "p50"},
	{Value: 0.1, Label: "p90"},
	{Value: 0.05, Label: "p95"},
	{Value: 0.01, Label: "p99"},
	{Value: 0.001, Label: "p99.9"},
	{Value: 0.0001, Label: "p99.99"},
}

// latencyTicks are 1, 2 and 5 times the powers of ten.
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

// curvePoints is the number of percentiles drawn, evenly spread over the logarithm of the share above them.
const curvePoints = 200

func curve(h *hdrhistogram.Histogram) plotter.XYs {
	smallest := math.Min(0.5, 1/float64(h.TotalCount()))
	out := make(plotter.XYs, curvePoints)
	for i := range out {
		above := math.Pow(smallest, float64(i+1)/curvePoints)
		out[i].X = above
		out[i].Y = float64(max(1, h.ValueAtQuantile(100*(1-above)))) / 1e3
	}
	return out
}
