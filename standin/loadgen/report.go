package main

import (
	"fmt"
	"html/template"
	"math"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	plotWidth  = 760
	plotHeight = 220
	plotMargin = 40
	minMicros  = 100.0
)

var plotColours = []string{
	"#1b6ca8", "#c8553d", "#2e7d4f", "#8e5ea2", "#b8860b", "#555555", "#17a2a2", "#d4689a",
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Load report</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}
td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child{text-align:left}
svg{background:#fafafa;border:1px solid #ddd}</style></head><body>
<h1>Load report</h1>
<table><tr><th>flow</th><th>sent</th><th>p50 ms</th><th>p99 ms</th><th>max ms</th><th>final results</th></tr>
{{range .Rows}}<tr><td><span style="color:{{.Colour}}">&#9632;</span> {{.Name}}</td><td>{{.Sent}}</td><td>{{.P50}}</td><td>{{.P99}}</td><td>{{.Max}}</td><td>{{.Results}}</td></tr>
{{end}}</table>
<h2>Latency of complete first answers</h2><p>Percentile across, milliseconds up (logarithmic).</p>{{.Latency}}
<h2>First answers per second</h2><p>Solid: complete answers. Dashed: all others.</p>{{.Timeline}}
</body></html>
`))

type reportRow struct {
	Name, Colour, P50, P99, Max, Results string
	Sent                                 int
}

func writeReport(path string, results runResults) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "cannot write the report")
	}
	defer file.Close()
	var rows []reportRow
	for i, f := range results.Flows {
		rows = append(rows, reportRow{
			Name: f.Name, Colour: colour(i), Sent: f.Sent, Results: formatCounts(f.Final),
			P50: formatMillis(f.P50Micros), P99: formatMillis(f.P99Micros), Max: formatMillis(f.MaxMicros),
		})
	}
	err = reportPage.Execute(file, map[string]any{
		"Rows": rows,
		// The plots are built from numbers and constants only, so they need no escaping.
		"Latency":  template.HTML(latencyPlot(results.Flows)),
		"Timeline": template.HTML(timelinePlot(results.Flows)),
	})
	return eris.Wrap(err, "cannot write the report")
}

func formatMillis(micros int64) string {
	return fmt.Sprintf("%.2f", millis(micros))
}

func colour(index int) string {
	return plotColours[index%len(plotColours)]
}

type point struct{ x, y float64 }

func latencyPlot(flows []flowResult) string {
	maxMicros := minMicros * 10
	for _, f := range flows {
		maxMicros = math.Max(maxMicros, float64(f.MaxMicros))
	}
	var lines strings.Builder
	for decade := minMicros; decade <= maxMicros; decade *= 10 {
		y := logY(decade, maxMicros)
		fmt.Fprintf(&lines, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="2" y="%.1f" font-size="10">%g</text>`,
			plotMargin, plotWidth, y, y, y+4, decade/1000)
	}
	for i, f := range flows {
		var points []point
		for n, c := range f.Curve {
			x := float64(plotMargin) + float64(n)/float64(len(f.Curve)-1)*float64(plotWidth-2*plotMargin)
			points = append(points, point{x, logY(math.Max(float64(c.Micros), minMicros), maxMicros)})
			if i == 0 {
				fmt.Fprintf(&lines, `<text x="%.1f" y="%d" font-size="10">%g</text>`, x-6, plotHeight-4, c.Percentile)
			}
		}
		lines.WriteString(polyline(points, colour(i), ""))
	}
	return svg(lines.String())
}

func logY(micros, maxMicros float64) float64 {
	share := math.Log(micros/minMicros) / math.Log(maxMicros/minMicros)
	return plotHeight - plotMargin/2 - share*(plotHeight-plotMargin)
}

func timelinePlot(flows []flowResult) string {
	seconds, maxCount := 1, 1
	for _, f := range flows {
		seconds = max(seconds, len(f.PerSecond))
		for _, s := range f.PerSecond {
			maxCount = max(maxCount, s[resultWhole], countOthers(s))
		}
	}
	var lines strings.Builder
	fmt.Fprintf(&lines, `<text x="2" y="14" font-size="10">%d/s</text><text x="%d" y="%d" font-size="10">%d s</text>`,
		maxCount, plotWidth-plotMargin, plotHeight-4, seconds)
	for i, f := range flows {
		var whole, rest []point
		for n, s := range f.PerSecond {
			x := plotMargin + float64(n)/float64(seconds)*(plotWidth-2*plotMargin)
			whole = append(whole, point{x, linearY(s[resultWhole], maxCount)})
			rest = append(rest, point{x, linearY(countOthers(s), maxCount)})
		}
		lines.WriteString(polyline(whole, colour(i), ""))
		lines.WriteString(polyline(rest, colour(i), "4 3"))
	}
	return svg(lines.String())
}

func countOthers(counts map[result]int) int {
	total := 0
	for name, n := range counts {
		if name != resultWhole {
			total += n
		}
	}
	return total
}

func linearY(value, maxCount int) float64 {
	return plotHeight - plotMargin/2 - float64(value)/float64(maxCount)*(plotHeight-plotMargin)
}

func polyline(points []point, stroke, dashes string) string {
	var b strings.Builder
	for _, p := range points {
		fmt.Fprintf(&b, "%.1f,%.1f ", p.x, p.y)
	}
	return fmt.Sprintf(`<polyline fill="none" stroke="%s" stroke-width="1.5" stroke-dasharray="%s" points="%s"/>`,
		stroke, dashes, strings.TrimSpace(b.String()))
}

func svg(content string) string {
	return fmt.Sprintf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d">%s</svg>`, plotWidth, plotHeight, content)
}
