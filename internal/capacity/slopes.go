// Package capacity works out what each role costs at a given size, from slopes
// that were measured on this project's own code, and measures those slopes.
package capacity

import (
	_ "embed"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Line is a straight line fitted through measured points.
type Line struct {
	// Base is the value at 0 and Slope the increase for each unit.
	Base, Slope float64
	// Unit names what the slope is for.
	Unit   string
	Points []Point
	// WorstError is the largest relative distance of a point from the line.
	WorstError float64
}

// Point is one measurement.
type Point struct {
	At, Value float64
}

// Slopes are the measured costs.
type Slopes struct {
	// HeartbeatBytes: bytes a second of a node at rest, by peers in its group.
	HeartbeatBytes Line
	// ControlCPU: seconds of processor time for a second of control at rest, by
	// peers; the emulator's own work is in it, so it is an upper bound.
	ControlCPU Line
	// ChangeBytes: bytes that a node sends for one drain, by flows that it
	// displaces in the group.
	ChangeBytes Line
	// ChangeCPU: processor seconds of a node for one drain, by open flows.
	ChangeCPU Line
	// SettleSeconds: time to settle one drain, by displaced flows, at the
	// record budget of RecordBytesPerSecond.
	SettleSeconds        Line
	RecordBytesPerSecond float64
	// FlowMemory: bytes of the flow table, by flows.
	FlowMemory Line
	// StateBytes: bytes of one epoch with its rules, by back ends.
	StateBytes Line
	// ViewMemory: bytes of memory of a node's rules, by back ends.
	ViewMemory Line
	// NodeMemory: bytes of memory of a hollow node without flows, by peers.
	NodeMemory Line
	// InForceSeconds: the longest time until a change was in force on all
	// nodes of a group, by peers.
	InForceSeconds Line
	// Hollow describes the largest run of hollow nodes.
	Hollow HollowRun
}

// HollowRun is a run of many groups in one process.
type HollowRun struct {
	Nodes, Groups, GroupSize int
	VirtualSeconds           float64
	Changes, Restarts        int
	BytesPerNodeSecond       float64
	CPUPerNodeSecond         float64
	MemoryPerNode            float64
	InForceP99, InForceWorst float64
	StoreWritesPerSecond     float64
}

//go:embed slopes.json
var measured []byte

// Measured returns the slopes in slopes.json, written by "indigobarrow capacity
// measure".
func Measured() (Slopes, error) {
	var slopes Slopes
	err := json.Unmarshal(measured, &slopes)
	return slopes, errors.Wrap(err, "capacity: slopes.json")
}

// At is the value of the line.
func (line Line) At(x float64) float64 { return line.Base + line.Slope*x }

// fit makes the least-squares line through points.
func fit(unit string, points []Point) Line {
	var count, sumX, sumY, sumXX, sumXY float64
	for _, point := range points {
		count++
		sumX += point.At
		sumY += point.Value
		sumXX += point.At * point.At
		sumXY += point.At * point.Value
	}
	line := Line{Unit: unit, Points: points}
	line.Slope = (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	line.Base = (sumY - line.Slope*sumX) / count
	for _, point := range points {
		if point.Value == 0 {
			continue
		}
		distance := (line.At(point.At) - point.Value) / point.Value
		line.WorstError = max(line.WorstError, distance, -distance)
	}
	return line
}
