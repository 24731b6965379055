package detection

import (
	"fmt"
	"strings"
)

// Markdown returns the tables of the measurement.
func (r *Result) Markdown() string {
	var b strings.Builder
	b.WriteString("Detection time over all gray scenarios, and false ejections over all runs:\n\n")
	r.summary(&b)
	b.WriteString("\nBy gray scenario, detection p50 / p99 in seconds (share never detected), exposure in seconds:\n\n")
	header(&b, "scenario")
	for _, s := range scenarios {
		if s.gray {
			r.row(&b, s.name, func(c *cell) string {
				return fmt.Sprintf("%s, %.1f", detectionText(c), c.meanExposure())
			})
		}
	}
	b.WriteString("\nBy scenario, false ejections per endpoint-hour of healthy endpoints:\n\n")
	header(&b, "scenario")
	for _, s := range scenarios {
		r.row(&b, s.name, func(c *cell) string { return fmt.Sprintf("%.3f", c.falseRate()) })
	}
	return b.String()
}

func (r *Result) summary(b *strings.Builder) {
	b.WriteString("| group | method | detection p50 [s] | p99 [s] | never detected | exposure [s] " +
		"| false ejections per endpoint-hour | endpoint-hours |\n")
	b.WriteString("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	groups := []string{groupAll}
	for _, s := range services {
		groups = append(groups, s.name)
	}
	for _, g := range groups {
		for _, m := range modes {
			c := r.cell(m, g)
			fmt.Fprintf(b, "| %s | %s | %.1f | %.1f | %.1f%% | %.1f | %.4f | %.0f |\n", g, m.name,
				c.quantile(0.5), c.quantile(0.99), 100*c.missedShare(), c.meanExposure(), c.falseRate(), c.hours)
		}
	}
}

func header(b *strings.Builder, first string) {
	b.WriteString("| " + first)
	for _, m := range modes {
		b.WriteString(" | " + m.name)
	}
	b.WriteString(" |\n| ---" + strings.Repeat(" | ---:", len(modes)) + " |\n")
}

func (r *Result) row(b *strings.Builder, group string, text func(*cell) string) {
	b.WriteString("| " + group)
	for _, m := range modes {
		b.WriteString(" | " + text(r.cell(m, group)))
	}
	b.WriteString(" |\n")
}

func detectionText(c *cell) string {
	return fmt.Sprintf("%.1f / %.1f (%.0f%%)", c.quantile(0.5), c.quantile(0.99), 100*c.missedShare())
}
