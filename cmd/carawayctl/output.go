package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// show prints value as indented JSON if that output is selected, and calls text
// otherwise. Text output is aligned in columns at tabs.
func (p *program) show(command *cli.Command, value any, text func(io.Writer)) error {
	if command.String("output") == outputJSON {
		return writeJSON(p.stdout, value)
	}
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// formatAge formats an age in milliseconds, where a negative one means never.
func formatAge(millis int64) string {
	if millis < 0 {
		return "never"
	}
	length := time.Duration(millis) * time.Millisecond
	if length < time.Minute {
		return fmt.Sprintf("%.1f s ago", length.Seconds())
	}
	return length.Round(time.Second).String() + " ago"
}
