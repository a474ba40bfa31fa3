package fleet

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Line prints a second as a line of the table under TableHeader.
func (s Second) Line(out io.Writer) {
	t := &s.Tally
	fmt.Fprintf(out, "%4d %6d %8.0f %8.0f %6.2f %7d %7d %7d %6d %6d %6d %6d %5.2f %5.0f %5d\n",
		s.At, t.Started, t.UtilityOffered, t.Utility, t.triesPerFirstTry(),
		t.Tries[served], t.Tries[refused], t.Tries[failed], t.Tries[timedOut],
		t.Tries[connectionLost]+t.Tries[unreachable], t.NotSent, t.StoppedRetries,
		s.NodeCPU, s.CPUPerTry, s.MemoryKB>>10)
}

// TableHeader prints the header of the lines that Second.Line prints.
func TableHeader(out io.Writer) {
	fmt.Fprintf(out, "%4s %6s %8s %8s %6s %7s %7s %7s %6s %6s %6s %6s %5s %5s %5s\n",
		"s", "asked", "offered", "worth", "tries",
		"served", "refused", "failed", "late", "cut", "held", "ended", "cpu", "us", "MB")
}

// Table prints the summary of a rehearsal.
func (r *Report) Table(out io.Writer) {
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	row := func(label, format string, args ...any) {
		fmt.Fprintf(w, "%s\t%s\n", label, fmt.Sprintf(format, args...))
	}
	row("requests", "%d, %.4f of them served, %.4f of the worth in time",
		r.Tally.Started, r.ServedShare, r.UtilityShare)
	row("tries a first try", "%.3f", r.TriesPerFirstTry)
	for i, name := range outcomeNames {
		if n, q := r.Tally.Tries[i], r.Tally.Requests[i]; n+q > 0 {
			row(name, "%d tries, %d requests", n, q)
		}
	}
	row("refused first tries", "answered in %.1f ms (p50), %.1f ms (p99), %.3f of them within 20 ms",
		r.RefusalP50, r.RefusalP99, r.PromptRefusalShare)
	row("longest stall", "%.0f ms, in which the machine let no client run", r.LongestStallMs)
	row("probes, connections", "%d, %d", r.Tally.Probes, r.Tally.Connections)
	if r.RanAgainAfterRestart > 0 {
		row("ran again", "%d keyed or unsafe requests ran again in a later incarnation of the same node",
			r.RanAgainAfterRestart)
	}
	if len(r.FaultMarks) > 0 {
		row("worth a second", "%.0f before the faults, %.0f while they lasted", r.UtilityBefore, r.UtilityDuring)
		if r.RecoveryTime < 0 {
			row("back to 0.95", "not before the end")
		} else {
			row("back to 0.95", "%.1f s after the last fault's end", r.RecoveryTime)
		}
	}
	_ = w.Flush() // an error means that the reader has closed the output
	if broken := r.Violations(); len(broken) > 0 {
		fmt.Fprintf(out, "\nBROKEN: %s\n", strings.Join(broken, "; "))
	} else {
		fmt.Fprintln(out, "\nNo rule was broken.")
	}
}

// JSON writes the report as one JSON object.
func (r *Report) JSON(out io.Writer) error { return json.NewEncoder(out).Encode(r) }

// Plot writes a chart of utility, tries and refusals by second, with the faults marked, to a file. The
// suffix of the path selects the format: .svg, .png or .pdf.
func (r *Report) Plot(path string) error {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("%s, %d nodes, together %s, seed %d", r.Scenario, r.Nodes, r.Shedding, r.Seed)
	chart.X.Label.Text, chart.Y.Label.Text = "seconds", "tries and worth a second"
	chart.Y.Min = 0
	chart.Legend.Top = true
	line := func(name string, c color.Color, value func(s *Second) float64) error {
		var points plotter.XYs
		for i := range r.Seconds {
			points = append(points, plotter.XY{X: float64(r.Seconds[i].At) - 0.5, Y: value(&r.Seconds[i])})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		l.Color = c
		l.Width = vg.Points(1.5)
		chart.Add(l)
		chart.Legend.Add(name, l)
		return nil
	}
	top := 0.0
	for i := range r.Seconds {
		top = max(top, float64(r.Seconds[i].Tally.tries()), r.Seconds[i].Tally.UtilityOffered)
	}
	for _, m := range r.FaultMarks {
		l, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: 0}, {X: m.At, Y: top}})
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		l.Color = map[bool]color.Color{true: color.RGBA{R: 200, A: 255}, false: color.RGBA{G: 140, A: 255}}[m.Begins]
		l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		chart.Add(l)
		if m.Begins {
			label, err := plotter.NewLabels(plotter.XYLabels{
				XYs: plotter.XYs{{X: m.At, Y: top}}, Labels: []string{m.Fault},
			})
			if err != nil {
				return fmt.Errorf("plot: %w", err)
			}
			chart.Add(label)
		}
	}
	for _, l := range []struct {
		name  string
		c     color.Color
		value func(s *Second) float64
	}{
		{"worth offered", color.Gray{160}, func(s *Second) float64 { return s.Tally.UtilityOffered }},
		{"worth served", color.RGBA{B: 200, A: 255}, func(s *Second) float64 { return s.Tally.Utility }},
		{"tries", color.RGBA{R: 160, B: 160, A: 255}, func(s *Second) float64 { return float64(s.Tally.tries()) }},
		{
			"refusals", color.RGBA{R: 230, G: 120, A: 255},
			func(s *Second) float64 { return float64(s.Tally.Tries[refused]) },
		},
	} {
		if err := line(l.name, l.c, l.value); err != nil {
			return fmt.Errorf("plot: %w", err)
		}
	}
	if err := chart.Save(22*vg.Centimeter, 11*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
