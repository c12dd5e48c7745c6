package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// The target scale, to be reached within two years, and the limits that hold there. The ControlPlane limits are per node.
const (
	Nodes            = 6800
	Leaves           = 34_000
	QueriesPerSecond = 910_000
	LeavesPerQuery   = 650
	DeadlineMs       = 170
	ChangesPerDay    = 36_000
	// MaxPropagationSeconds is the time within which a change must be in force on all nodes.
	MaxPropagationSeconds  = 3
	ControlPlaneCPUPercent = 1.1
	ControlPlaneMB         = 32
	ControlPlaneKBps       = 23
	// ControlVMs is the number of VMs that may be set aside for control.
	ControlVMs         = 9
	FailedVMsPerDay    = 41
	RestartedVMsPerDay = 3100
	DataCentres        = 8
	Regions            = 3
	secondsPerDay      = 24 * 3600
	// connectionsPerLeaf, slotsPerLeaf and workMs, the processing time of a request, are those of today's larger services.
	connectionsPerLeaf = 30
	slotsPerLeaf       = 3
	workMs             = 4
	// treeFanOut is the number of children of each node in a relay tree, which is not implemented.
	treeFanOut = 16
)

// Slope is the cost of one more unit of load, such as a leaf, a connection or a query.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of Value, which is the cost of one Per.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Value is the slope. If slopes.json has none it is that of the least-squares line through Points. slopes.json has one where
	// that slope does not apply, for example because the points are not on a line.
	Value float64 `json:"value"`
	// Points are the measured pairs of load and cost.
	Points [][2]float64 `json:"points"`
	// Benchmark names the benchmark that measured Points.
	Benchmark string `json:"benchmark"`
}

//go:embed slopes.json
var slopesJSON []byte

// Slopes returns the slopes of slopes.json by name.
func Slopes() (map[string]Slope, error) {
	var list []Slope
	if err := json.Unmarshal(slopesJSON, &list); err != nil {
		return nil, fmt.Errorf("read slopes: %w", err)
	}
	byName := make(map[string]Slope, len(list))
	for _, s := range list {
		if s.Value == 0 {
			s.Value = leastSquaresSlope(s.Points)
		}
		byName[s.Name] = s
	}
	return byName, nil
}

// leastSquaresSlope returns the slope of the least-squares line through points.
func leastSquaresSlope(points [][2]float64) float64 {
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

// Row is one row of the table of requirements.
type Row struct {
	Role, Metric string
	// Projected is the value at the target scale and Budget the limit, both in Unit. A budget of 0 means that none is stated.
	Projected, Budget float64
	Unit              string
	// NotMeasured marks a row without a projected value.
	NotMeasured bool
	// Source names the slopes that Projected is computed from, or is "arithmetic" if there are none.
	Source    string
	Mechanism string
}

// Headroom returns a text with the factor by which Projected is above or below Budget.
func (r Row) Headroom() string {
	switch {
	case r.NotMeasured:
		return "not known"
	case r.Budget == 0:
		return "no budget stated"
	case r.Projected <= 0:
		// Measurement noise can turn the slope of a small cost negative.
		return "not above the noise"
	case r.Projected > r.Budget:
		return fmt.Sprintf("short by %s times", formatNumber(r.Projected/r.Budget))
	default:
		return fmt.Sprintf("room of %s times", formatNumber(r.Budget/r.Projected))
	}
}

// formatNumber formats v with two significant digits, or as an integer from 100.
func formatNumber(v float64) string {
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// Table returns rows as a Markdown table.
func Table(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | at the size asked | allowed | today's code | from | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		budget := "-"
		if r.Budget != 0 {
			budget = formatNumber(r.Budget) + " " + r.Unit
		}
		projected := formatNumber(r.Projected) + " " + r.Unit
		if r.NotMeasured {
			projected = "not measured"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.Metric, projected, budget, r.Headroom(), r.Source, r.Mechanism)
	}
	return b.String()
}

// inYardsticks returns a time as a multiple of a reference time (yardstick) of the same machine: microseconds in HTTP round
// trips, milliseconds in disk syncs. It returns "-" for other units.
func inYardsticks(s Slope, slopes map[string]Slope) string {
	const microsPerMilli = 1000
	switch {
	case strings.HasPrefix(s.Unit, "µs"):
		return formatNumber(s.Value/slopes["yardstick-http"].Value) + " round trips"
	case s.Unit == "ms":
		return formatNumber(s.Value*microsPerMilli/slopes["yardstick-sync"].Value) + " syncs"
	default:
		return "-"
	}
}

// SlopeTable returns the slopes named in order as a Markdown table.
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
			s.Name, formatNumber(s.Value), s.Unit, s.Per, inYardsticks(s, slopes), strings.Join(points, ", "), s.Benchmark)
	}
	return b.String()
}
