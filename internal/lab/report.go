package lab

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"os"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/indigobarrow/indigobarrow/internal/router"
)

func pathName(path int) string { return router.Path(path).String() }

// WriteReport writes a self-contained HTML page to path. It shows a table of the
// rows, plots of broken flows, imbalance and control traffic, and a table of how
// long leaving back ends still got new flows.
func WriteReport(path string, rows []Row) error {
	page := reportPage{Rows: rows, Made: time.Now().UTC().Format(time.RFC3339)}
	for _, newPlot := range []func([]Row) (*plot.Plot, error){plotBroken, plotImbalance, plotControl} {
		graph, err := newPlot(rows)
		if err != nil {
			return errors.Wrap(err, "report: plot")
		}
		encoded, err := encodePlot(graph)
		if err != nil {
			return errors.Wrap(err, "report: plot")
		}
		page.Plots = append(page.Plots, encoded)
	}
	page.Leaving = leavingTable(rows)
	var output bytes.Buffer
	if err := reportTemplate.Execute(&output, page); err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(path, output.Bytes(), 0o644), "report")
}

type reportPage struct {
	Rows    []Row
	Made    string
	Plots   []template.URL
	Leaving []leavingRow
}

type leavingRow struct {
	Name               string
	Count              int64
	P50, P99, Greatest time.Duration
}

const (
	plotWidth        = 9 * vg.Inch
	plotHeight       = 4 * vg.Inch
	histogramLowest  = 1
	histogramHighest = 3_600_000
	histogramDigits  = 3
)

func encodePlot(graph *plot.Plot) (template.URL, error) {
	writer, err := graph.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return "", err
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return "", err
	}
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(image.Bytes())), nil
}

// sumByScenario adds up a value of the rows by method and scenario. It returns the
// scenarios in the order of the rows and the methods in alphabetical order.
func sumByScenario(rows []Row, value func(Row) float64) (scenarios []string, methods []string, sums map[string]map[string]float64) {
	sums = make(map[string]map[string]float64)
	seen := make(map[string]bool)
	for _, row := range rows {
		method := string(row.Algorithm)
		if sums[method] == nil {
			sums[method] = make(map[string]float64)
			methods = append(methods, method)
		}
		if !seen[row.Scenario] {
			seen[row.Scenario] = true
			scenarios = append(scenarios, row.Scenario)
		}
		sums[method][row.Scenario] += value(row)
	}
	sort.Strings(methods)
	return scenarios, methods, sums
}

func barChart(title, yLabel string, rows []Row, value func(Row) float64) (*plot.Plot, error) {
	graph := plot.New()
	graph.Title.Text = title
	graph.Y.Label.Text = yLabel
	graph.Y.Min = 0
	scenarios, methods, sums := sumByScenario(rows, value)
	width := vg.Points(min(14, 500/float64(len(scenarios)*len(methods))))
	for methodIndex, method := range methods {
		values := make(plotter.Values, len(scenarios))
		for index, scenario := range scenarios {
			values[index] = sums[method][scenario]
		}
		chart, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, err
		}
		chart.Color = plotutil.Color(methodIndex)
		chart.LineStyle.Width = 0
		chart.Offset = width * vg.Length(float64(methodIndex)-float64(len(methods)-1)/2)
		graph.Add(chart)
		graph.Legend.Add(method, chart)
	}
	graph.Legend.Top = true
	graph.NominalX(scenarios...)
	graph.X.Tick.Label.Rotation = 0.5
	graph.X.Tick.Label.XAlign = -1
	graph.X.Tick.Label.Font.Size = vg.Points(7)
	return graph, nil
}

func plotBroken(rows []Row) (*plot.Plot, error) {
	return barChart("Broken flows (notices and purchases count double)", "broken flows of 100,000", rows, func(row Row) float64 {
		return float64(row.Weighted) * 100_000 / float64(max(row.Flows, 1))
	})
}

func plotControl(rows []Row) (*plot.Plot, error) {
	return barChart("Control traffic of a node, mean", "bytes a second", rows, func(row Row) float64 { return row.ControlMean })
}

func plotImbalance(rows []Row) (*plot.Plot, error) {
	graph := plot.New()
	graph.Title.Text = "Imbalance over time (first user and seed, method epochs)"
	graph.X.Label.Text = "seconds"
	graph.Y.Label.Text = "maximum over mean"
	graph.Legend.Top = true
	plotted := 0
	for _, row := range rows {
		if row.Algorithm != AlgorithmEpochs || row.User != rows[0].User || row.Seed != rows[0].Seed || plotted == 7 {
			continue
		}
		var points plotter.XYs
		for _, sample := range row.Imbalance {
			if sample.At > 2*warmUpTime {
				points = append(points, plotter.XY{X: sample.At.Seconds(), Y: sample.MaximumOverMean})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(plotted)
		graph.Add(line)
		graph.Legend.Add(row.Scenario, line)
		plotted++
	}
	return graph, nil
}

// leavingTable returns, for each method, percentiles of the time between the
// start of a back end's leaving and each new flow that it still accepted, over
// all rows of the method.
func leavingTable(rows []Row) []leavingRow {
	histograms := make(map[string]*hdrhistogram.Histogram)
	for _, row := range rows {
		name := string(row.Algorithm)
		if histograms[name] == nil {
			histograms[name] = hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
		}
		for _, delay := range row.LeavingDelays {
			_ = histograms[name].RecordValue(max(histogramLowest, delay.Milliseconds()))
		}
	}
	var table []leavingRow
	for name, histogram := range histograms {
		table = append(table, leavingRow{
			Name: name, Count: histogram.TotalCount(),
			P50:      time.Duration(histogram.ValueAtQuantile(50)) * time.Millisecond,
			P99:      time.Duration(histogram.ValueAtQuantile(99)) * time.Millisecond,
			Greatest: time.Duration(histogram.Max()) * time.Millisecond,
		})
	}
	sort.Slice(table, func(i, j int) bool { return table[i].Name < table[j].Name })
	return table
}

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"number": func(value float64) string { return fmt.Sprintf("%.3f", value) },
	"whole":  func(value float64) string { return fmt.Sprintf("%.0f", value) },
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>indigobarrow: experiments</title>
<style>
body{font:15px/1.4 system-ui,sans-serif;margin:2em auto;max-width:75em;color:#222}
table{border-collapse:collapse;margin:1em 0;width:100%}
th,td{padding:.25em .6em;text-align:right;border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}
.bad{color:#b00020;font-weight:bold}img{max-width:100%;margin:1em 0}
</style>
<h1>indigobarrow: experiments</h1><p>Made {{.Made}} by <code>indigobarrow lab run</code>.</p>
<table><tr><th>Scenario<th>User<th>Method<th>Seed<th>Flows<th>Broken<th>Weighted<th>Max/mean<th>CV<th>In force P99<th>B/s mean<th>B/s peak</tr>
{{range .Rows}}<tr><td>{{.Scenario}}<td>{{.User}}<td>{{.Algorithm}}<td>{{.Seed}}<td>{{.Flows}}
<td{{if .TotalBroken}} class="bad"{{end}}>{{.TotalBroken}}<td>{{.Weighted}}<td>{{number .MaximumOverMean}}<td>{{number .Variation}}
<td>{{.InForceP99}}<td>{{whole .ControlMean}}<td>{{whole .ControlPeak}}</tr>
{{end}}</table>
{{range .Plots}}<img src="{{.}}" alt="plot">{{end}}
<h2>New flows to a back end after it began to leave</h2>
<table><tr><th>Method<th>Flows<th>P50<th>P99<th>Greatest</tr>
{{range .Leaving}}<tr><td>{{.Name}}<td>{{.Count}}<td>{{.P50}}<td>{{.P99}}<td>{{.Greatest}}</tr>{{end}}</table>
</html>
`))
