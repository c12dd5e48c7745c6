package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"samphirepass/policy"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter / 2
)

// Report compares the measured policy with the baseline for every case and seed, and writes a table and plots to the folder
// dir. It calls progress after each comparison.
func Report(dir string, seeds []uint64, progress func(Comparison)) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return fmt.Errorf("create report folder: %w", err)
	}
	var comparisons []Comparison
	for _, c := range Cases() {
		for _, seed := range seeds {
			comparison, _, err := Compare(c, policy.NameMeasured, seed)
			if err != nil {
				return fmt.Errorf("case %s seed %d: %w", c.Name, seed, err)
			}
			progress(comparison)
			comparisons = append(comparisons, comparison)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(markdownTable(comparisons)), 0o600); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	p99 := func(c Comparison) float64 { return c.P99Ratio }
	if err := saveBarChart(filepath.Join(dir, "p99-ratio.png"), "p99 of whole answers over the baseline's", comparisons, p99); err != nil {
		return err
	}
	gain := func(c Comparison) float64 { return c.Coverage - c.CoverageBaseline }
	return saveBarChart(filepath.Join(dir, "coverage-gain.png"), "coverage less the baseline's", comparisons, gain)
}

func markdownTable(comparisons []Comparison) string {
	var b strings.Builder
	b.WriteString("| case | seed | p50 ratio | p99 ratio | coverage (baseline) | first class goodput (baseline) | extra load % (baseline) | over limit | wrong |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, c := range comparisons {
		fmt.Fprintf(&b, "| %s | %d | %.2f | %.2f | %.4f (%.4f) | %.3f (%.3f) | %.2f (%.2f) | %d | %d |\n",
			c.Case, c.Seed, c.P50Ratio, c.P99Ratio, c.Coverage, c.CoverageBaseline, c.FirstClassGoodput, c.FirstClassGoodputBaseline,
			c.ExtraLoadPercent, c.ExtraLoadPercentBaseline, c.OverLimit, c.Wrong)
	}
	return b.String()
}

// saveBarChart saves a plot with one bar for each comparison.
func saveBarChart(path, title string, comparisons []Comparison, value func(Comparison) float64) error {
	p := plot.New()
	p.Title.Text = title
	values := make(plotter.Values, len(comparisons))
	names := make([]string, len(comparisons))
	for i, c := range comparisons {
		values[i] = value(c)
		names[i] = fmt.Sprintf("%s/%d", c.Case, c.Seed)
	}
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("create bar chart %q: %w", title, err)
	}
	p.Add(chart, plotter.NewGrid())
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.9
	p.X.Tick.Label.XAlign = -1
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save plot %s: %w", path, err)
	}
	return nil
}
