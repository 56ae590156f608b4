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

// soakKeepVariable names the directory in which a soak saves its seed, plan and report. If a
// guarantee was violated, it also saves the logs and the explanation of the first affected
// request.
const soakKeepVariable = "INDIGOBARROW_SOAK_KEEP"

// outcomeNames and outcomeColours are indexed by outcome.
var (
	outcomeNames   = []string{"answered", "refused", "broken", "past their deadline", "shed"}
	outcomeColours = []string{"#4a8", "#e8a33d", "#d33", "#84c", "#8ab4d8"}
)

// outcomeSummary formats how many attempts had each outcome, in all and per overloaded route
// during bursts.
func (soak *soak) outcomeSummary() string {
	all := make([]int, len(outcomeNames))
	duringBursts := map[string][]int{"urgent": make([]int, len(outcomeNames)), "patient": make([]int, len(outcomeNames))}
	for _, attempt := range soak.history.attempts {
		all[attempt.result]++
		if soak.history.duringBurst(attempt) {
			duringBursts[attempt.route][attempt.result]++
		}
	}
	summary := formatCounts(all)
	for _, route := range []string{"urgent", "patient"} {
		summary += fmt.Sprintf("; %s in bursts: %s", route, formatCounts(duringBursts[route]))
	}
	return summary
}

func formatCounts(counts []int) string {
	var parts []string
	for result, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count, outcomeNames[result]))
	}
	return strings.Join(parts, ", ")
}

// saveArtifacts writes the plan, the report and, if a guarantee was violated, the logs of a
// soak, if a directory for them is set.
func (soak *soak) saveArtifacts(seed int, violations []string) {
	directory := os.Getenv(soakKeepVariable)
	if directory == "" {
		return
	}
	directory = filepath.Join(directory, fmt.Sprintf("seed-%d", seed))
	require.NoError(soak.t, os.MkdirAll(directory, 0o755))
	soak.write(filepath.Join(directory, "plan"), fmt.Sprintf("# seed %d\n%s", seed, soak.plan))
	soak.writeReport(filepath.Join(directory, "report.html"), seed, violations)
	if len(violations) == 0 {
		return
	}
	soak.write(filepath.Join(directory, "breaches"), strings.Join(violations, "\n")+"\n")
	var logs []string
	for _, process := range soak.processes {
		content, err := os.ReadFile(process.log.Name())
		require.NoError(soak.t, err)
		copied := filepath.Join(directory, filepath.Base(process.log.Name()))
		soak.write(copied, string(content))
		logs = append(logs, copied)
	}
	for _, attempt := range soak.history.attempts {
		if len(soak.history.violationsOf(attempt)) > 0 {
			explanation, _ := exec.Command(binary(soak.t, "balancer"), append([]string{"explain", attempt.flow}, logs...)...).CombinedOutput()
			soak.write(filepath.Join(directory, "story"), string(explanation))
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

func (soak *soak) writeReport(path string, seed int, violations []string) {
	file, err := os.Create(path)
	require.NoError(soak.t, err)
	defer func() { _ = file.Close() }()
	require.NoError(soak.t, reportPage.Execute(file, map[string]any{
		"Seed": seed, "Counts": soak.outcomeSummary(), "Broken": violations, "Plan": soak.plan.String(),
		"Time": soak.timeChart(), "Latency": soak.latencyChart(),
		"Buckets": "each bar twice as long as the one before it, the first to 1 ms",
	}))
}

// timeChart draws the outcomes of each second as stacked bars in front of the plan's events.
func (soak *soak) timeChart() []box {
	seconds := int(time.Since(soak.startedAt).Seconds()) + 1
	counts := make([][5]int, seconds)
	maximum := 1
	for _, attempt := range soak.history.attempts {
		second := int(attempt.at.Sub(soak.startedAt).Seconds())
		counts[second][attempt.result]++
		maximum = max(maximum, sum(counts[second][:]))
	}
	width := chartWidth / float64(seconds)
	var boxes []box
	for _, next := range soak.plan {
		boxes = append(boxes, box{X: next.at.Seconds() * width, Width: max(next.duration.Seconds()*width, 1), Height: chartHeight, Colour: "#0002",
			Title: fmt.Sprintf("%s %s, balancer %d, %s", next.at, next.step, next.balancer, next.duration)})
	}
	for second, secondCounts := range counts {
		base := float64(chartHeight)
		for result, count := range secondCounts {
			height := float64(count) / float64(maximum) * chartHeight
			base -= height
			boxes = append(boxes, box{X: float64(second) * width, Y: base, Width: width * 0.8, Height: height,
				Colour: outcomeColours[result], Title: fmt.Sprintf("second %d: %d %s", second, count, outcomeNames[result])})
		}
	}
	return boxes
}

// latencyChart draws a histogram of the latencies of the answered requests.
func (soak *soak) latencyChart() []box {
	var counts [14]int
	for _, attempt := range soak.history.attempts {
		bucket := 0
		for limit := time.Millisecond; attempt.ended.Sub(attempt.at) > limit && bucket < len(counts)-1; limit *= 2 {
			bucket++
		}
		if attempt.result == outcomeAnswered {
			counts[bucket]++
		}
	}
	maximum := max(1, sum(counts[:]))
	width := chartWidth / float64(len(counts))
	var boxes []box
	for bucket, count := range counts {
		height := float64(count) / float64(maximum) * chartHeight
		boxes = append(boxes, box{X: float64(bucket) * width, Y: chartHeight - height, Width: width * 0.9, Height: height,
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
