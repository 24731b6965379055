package detection

import (
	"fmt"
	"math"
	"strings"
)

// Plot size in pixels, and the ranges of the axes.
const (
	plotWidth   = 760
	plotHeight  = 480
	plotMargin  = 60
	plotSeconds = 128.0
	// plotMinRate represents a rate of 0 on the logarithmic axis.
	plotMinRate = 0.0005
	plotMaxRate = 1.0
)

var plotColors = map[string]string{
	"baseline": "#777777", "detection": "#c0392b", "balanced": "#2471a3", "falseEjections": "#1e8449",
}

// SVG plots detection time against false ejections, with two marks per
// service and mode: a filled circle for the median, a ring for p99.
func (r *Result) SVG() string {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, plotHeight)
	plotAxes(&b)
	for i, m := range modes {
		color := plotColors[m.name]
		for _, s := range services {
			c := r.cell(m, s.name)
			y := plotY(c.falseRate())
			left, right := plotX(c.quantile(0.5)), plotX(c.quantile(0.99))
			fmt.Fprintf(&b, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="%s" stroke-opacity="0.4"/>`+"\n",
				left, y, right, y, color)
			fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="5" fill="%s"><title>%s, %s, p50</title></circle>`+"\n",
				left, y, color, s.name, m.name)
			fmt.Fprintf(&b, `<circle cx="%.1f" cy="%.1f" r="5" fill="white" stroke="%s"><title>%s, %s, p99</title></circle>`+"\n",
				right, y, color, s.name, m.name)
		}
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotWidth-plotMargin-100, plotMargin+16*i, color, m.name)
	}
	b.WriteString("</svg>\n")
	return b.String()
}

func plotAxes(b *strings.Builder) {
	bottom, right := plotHeight-plotMargin, plotWidth-plotMargin
	fmt.Fprintf(b, `<path d="M%d %d V%d H%d" fill="none" stroke="black"/>`+"\n", plotMargin, plotMargin, bottom, right)
	for s := 1.0; s <= plotSeconds; s *= 2 {
		fmt.Fprintf(b, `<text x="%.1f" y="%d" text-anchor="middle">%g</text>`+"\n", plotX(s), bottom+16, s)
	}
	for _, f := range []float64{plotMinRate, 0.001, 0.01, 0.1, 1} {
		label := fmt.Sprintf("%g", f)
		if f == plotMinRate {
			label = "none"
		}
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%s</text>`+"\n", plotMargin-6, plotY(f)+4, label)
	}
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="middle">detection time [s]: filled p50, ring p99</text>`+"\n",
		plotWidth/2, plotHeight-16)
	fmt.Fprintf(b, `<text x="%d" y="%d">false ejections per endpoint-hour, one mark per service</text>`+"\n",
		plotMargin, plotMargin-20)
}

func plotX(seconds float64) float64 {
	x := math.Log2(max(1, seconds)) / math.Log2(plotSeconds)
	return plotMargin + x*(plotWidth-2*plotMargin)
}

func plotY(rate float64) float64 {
	rate = min(plotMaxRate, max(plotMinRate, rate))
	y := math.Log(rate/plotMinRate) / math.Log(plotMaxRate/plotMinRate)
	return plotHeight - plotMargin - y*(plotHeight-2*plotMargin)
}
