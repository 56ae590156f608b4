package e2e

import (
	"fmt"
	"html/template"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// soakKeepVariable is the directory in which a soak keeps its seed, plan and report,
// and on a breach the logs and the story of the first request that shows it.
const soakKeepVariable = "INDIGOBARROW_SOAK_KEEP"

// outcomeNames and outcomeColours are by outcome.
var (
	outcomeNames   = []string{"answered", "refused", "broken", "past their deadline", "shed"}
	outcomeColours = []string{"#4a8", "#e8a33d", "#d33", "#84c", "#8ab4d8"}
)

// outcomeSummary tells the outcomes of all attempts, and of each route's in bursts.
func (soak *soak) outcomeSummary() string {
	all := make([]int, len(outcomeNames))
	crowded := map[string][]int{"urgent": make([]int, len(outcomeNames)), "patient": make([]int, len(outcomeNames))}
	for _, seen := range soak.history.attempts {
		all[seen.result]++
		if soak.history.duringBurst(seen) {
			crowded[seen.route][seen.result]++
		}
	}
	told := formatCounts(all)
	for _, route := range []string{"urgent", "patient"} {
		told += fmt.Sprintf("; %s in bursts: %s", route, formatCounts(crowded[route]))
	}
	return told
}

func formatCounts(counts []int) string {
	var said []string
	for result, count := range counts {
		said = append(said, fmt.Sprintf("%d %s", count, outcomeNames[result]))
	}
	return strings.Join(said, ", ")
}

// saveArtifacts writes what is kept of a soak, if a directory for it is set.
func (soak *soak) saveArtifacts(seed int, broken []string) {
	directory := os.Getenv(soakKeepVariable)
	if directory == "" {
		return
	}
	directory = filepath.Join(directory, fmt.Sprintf("seed-%d", seed))
	require.NoError(soak.t, os.MkdirAll(directory, 0o755))
	soak.write(filepath.Join(directory, "plan"), fmt.Sprintf("# seed %d\n%s", seed, soak.plan))
	soak.writeReport(filepath.Join(directory, "report.html"), seed, broken)
	if len(broken) == 0 {
		return
	}
	soak.write(filepath.Join(directory, "breaches"), strings.Join(broken, "\n")+"\n")
	var logs []string
	for _, each := range soak.processes {
		content, err := os.ReadFile(each.log.Name())
		require.NoError(soak.t, err)
		kept := filepath.Join(directory, filepath.Base(each.log.Name()))
		soak.write(kept, string(content))
		logs = append(logs, kept)
	}
	for _, seen := range soak.history.attempts {
		if len(soak.history.violationsOf(seen)) > 0 {
			story, _ := exec.Command(binary(soak.t, "balancer"), append([]string{"explain", seen.flow}, logs...)...).CombinedOutput()
			soak.write(filepath.Join(directory, "story"), string(story))
			return
		}
	}
}

const (
	chartWidth  = 1000
	chartHeight = 200
)

// box is a rectangle of a chart.
type box struct {
	X, Y, Width, Height float64
	Colour, Title       string
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html><meta charset="utf-8"><title>Soak, seed {{.Seed}}</title>
<style>body{font:14px sans-serif;max-width:1040px;margin:2em auto}svg{background:#f6f6f6}pre{white-space:pre-wrap}</style>
<h1>Soak, seed {{.Seed}}</h1><p>{{.Counts}}</p>
<h2>Requests by outcome, each second; faults and planned work behind</h2>{{template "chart" .Time}}
<h2>Latency of answered requests, {{.Buckets}}</h2>{{template "chart" .Latency}}
<h2>Breaches: {{len .Broken}}</h2>{{range .Broken}}<pre>{{.}}</pre>{{end}}
<h2>Plan</h2><pre>{{.Plan}}</pre>
{{define "chart"}}<svg viewBox="0 0 1000 200" width="1000" height="200">{{range .}}<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}" fill="{{.Colour}}"><title>{{.Title}}</title></rect>{{end}}</svg>{{end}}`))

func (soak *soak) writeReport(path string, seed int, broken []string) {
	file, err := os.Create(path)
	require.NoError(soak.t, err)
	defer func() { _ = file.Close() }()
	require.NoError(soak.t, reportPage.Execute(file, map[string]any{
		"Seed": seed, "Counts": soak.outcomeSummary(), "Broken": broken, "Plan": soak.plan.String(),
		"Time": soak.timeChart(), "Latency": soak.latencyChart(),
		"Buckets": "each bar twice as long as the one before it, the first to 1 ms",
	}))
}

// timeChart stacks the outcomes of each second before the plan's events.
func (soak *soak) timeChart() []box {
	seconds := int(time.Since(soak.startedAt).Seconds()) + 1
	counts := make([][5]int, seconds)
	most := 1
	for _, seen := range soak.history.attempts {
		second := int(seen.at.Sub(soak.startedAt).Seconds())
		counts[second][seen.result]++
		most = max(most, sum(counts[second][:]))
	}
	wide := chartWidth / float64(seconds)
	var boxes []box
	for _, next := range soak.plan {
		boxes = append(boxes, box{X: next.at.Seconds() * wide, Width: max(next.duration.Seconds()*wide, 1), Height: chartHeight, Colour: "#0002",
			Title: fmt.Sprintf("%s %s, balancer %d, %s", next.at, next.step, next.balancer, next.duration)})
	}
	for second, each := range counts {
		base := float64(chartHeight)
		for result, count := range each {
			high := float64(count) / float64(most) * chartHeight
			base -= high
			boxes = append(boxes, box{X: float64(second) * wide, Y: base, Width: wide * 0.8, Height: high,
				Colour: outcomeColours[result], Title: fmt.Sprintf("second %d: %d %s", second, count, outcomeNames[result])})
		}
	}
	return boxes
}

// latencyChart counts the answered requests by the time that they took.
func (soak *soak) latencyChart() []box {
	var counts [14]int
	for _, seen := range soak.history.attempts {
		bucket := 0
		for limit := time.Millisecond; seen.ended.Sub(seen.at) > limit && bucket < len(counts)-1; limit *= 2 {
			bucket++
		}
		if seen.result == outcomeAnswered {
			counts[bucket]++
		}
	}
	most := max(1, sum(counts[:]))
	wide := chartWidth / float64(len(counts))
	var boxes []box
	for bucket, count := range counts {
		high := float64(count) / float64(most) * chartHeight
		boxes = append(boxes, box{X: float64(bucket) * wide, Y: chartHeight - high, Width: wide * 0.9, Height: high,
			Colour: outcomeColours[outcomeAnswered], Title: fmt.Sprintf("up to %d ms: %d", 1<<bucket, count)})
	}
	return boxes
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
