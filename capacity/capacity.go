package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// The size asked for within two years.
const (
	Nodes                  = 6800
	Leaves                 = 34_000
	QueriesPerSecond       = 910_000
	LeavesPerQuery         = 650
	DeadlineMs             = 170
	ChangesPerDay          = 36_000
	MaxPropagationSeconds  = 3
	ControlPlaneCPUPercent = 1.1
	ControlPlaneMB         = 32
	ControlPlaneKBps       = 23
	ControlVMs             = 9
	FailedVMsPerDay        = 41
	RestartedVMsPerDay     = 3100
	DataCentres            = 8
	Regions                = 3
	secondsPerDay          = 24 * 3600
	// connectionsPerLeaf, slots and workMs are those of today's larger services.
	connectionsPerLeaf = 30
	slotsPerLeaf       = 3
	workMs             = 4
	// treeFanOut is the number of children in a relay tree that is not built.
	treeFanOut = 16
)

// Slope is what one more of something costs.
type Slope struct {
	Name string `json:"name"`
	// Unit is what Value is measured in, for each of Per.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Value is the slope of the line through Points, unless the points are no line and it is given.
	Value float64 `json:"value"`
	// Points are the pairs that the slope is drawn through.
	Points [][2]float64 `json:"points"`
	// Benchmark is the one that gave the points.
	Benchmark string `json:"benchmark"`
}

//go:embed slopes.json
var slopesJSON []byte

// Slopes returns the measured slopes by name.
func Slopes() (map[string]Slope, error) {
	var list []Slope
	if err := json.Unmarshal(slopesJSON, &list); err != nil {
		return nil, fmt.Errorf("read slopes: %w", err)
	}
	out := make(map[string]Slope, len(list))
	for _, s := range list {
		if s.Value == 0 {
			s.Value = fit(s.Points)
		}
		out[s.Name] = s
	}
	return out, nil
}

// fit returns the slope of the least-squares line through points.
func fit(points [][2]float64) float64 {
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p[0]
		sy += p[1]
		sxx += p[0] * p[0]
		sxy += p[0] * p[1]
	}
	n := float64(len(points))
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// Row is one line of the table.
type Row struct {
	Role, Metric string
	// Projected is the figure at the size asked for, Budget what is allowed, both in Unit; a budget of 0 means that none is stated.
	Projected, Budget float64
	Unit              string
	// NotMeasured marks a row without a figure.
	NotMeasured bool
	Source      string
	Mechanism   string
}

// Headroom tells how far today's code falls short of the budget, or what room it has.
func (r Row) Headroom() string {
	switch {
	case r.NotMeasured:
		return "not known"
	case r.Budget == 0:
		return "no budget stated"
	case r.Projected <= 0:
		return "not above the noise"
	case r.Projected > r.Budget:
		return fmt.Sprintf("short by %s times", figure(r.Projected/r.Budget))
	default:
		return fmt.Sprintf("room of %s times", figure(r.Budget/r.Projected))
	}
}

// figure writes a number with two or three digits.
func figure(v float64) string {
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// Table returns the rows as Markdown.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | at the size asked | allowed | today's code | from | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		allowed := "-"
		if r.Budget != 0 {
			allowed = figure(r.Budget) + " " + r.Unit
		}
		need := figure(r.Projected) + " " + r.Unit
		if r.NotMeasured {
			need = "not measured"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.Metric, need, allowed, r.Headroom(), r.Source, r.Mechanism)
	}
	return b.String()
}

// inYardsticks gives a time as a multiple of a round trip or a sync on the same machine.
func inYardsticks(s Slope, slopes map[string]Slope) string {
	const microsPerMilli = 1000
	switch {
	case strings.HasPrefix(s.Unit, "µs"):
		return figure(s.Value/slopes["yardstick-http"].Value) + " round trips"
	case s.Unit == "ms":
		return figure(s.Value*microsPerMilli/slopes["yardstick-sync"].Value) + " syncs"
	default:
		return "-"
	}
}

// SlopeTable returns the slopes as Markdown.
func SlopeTable(slopes map[string]Slope, order []string) string {
	var b strings.Builder
	b.WriteString("| slope | value | in yardsticks | points (x: y) | benchmark |\n| --- | --- | --- | --- | --- |\n")
	for _, name := range order {
		s := slopes[name]
		points := make([]string, len(s.Points))
		for i, p := range s.Points {
			points[i] = fmt.Sprintf("%g: %g", p[0], p[1])
		}
		fmt.Fprintf(&b, "| %s | %s %s for each %s | %s | %s | `%s` |\n",
			s.Name, figure(s.Value), s.Unit, s.Per, inYardsticks(s, slopes), strings.Join(points, ", "), s.Benchmark)
	}
	return b.String()
}
