package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/carawayhold/carawayhold/cmd/carawayctl/internal/proxylog"
)

// errNoRequest means that no log line names the request.
var errNoRequest = eris.New("no line of that request; an ordinary served request leaves none")

// lineTime is how the time of a log line is shown.
const lineTime = "15:04:05.000"

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show a request's way through the logs of many proxies, and what decided it",
		ArgsUsage: "ID FILE...",
		Description: "FILE is the log of one proxy or of many, plain or compressed by gzip; - is standard input.\n" +
			"The last word before the brace of a line is taken as the name of its machine.\n" +
			"Exit code 1: no line names the request.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "summary", Usage: "count unserved requests by minute and cause; takes no ID"},
			&cli.BoolFlag{Name: "json", Usage: "the same as --output json"},
		},
		Action: p.explain,
	}
}

func (p *program) explain(_ context.Context, command *cli.Command) error {
	if command.Bool("json") {
		if err := command.Set("output", outputJSON); err != nil {
			return usageError(err.Error())
		}
	}
	given := command.Args().Slice()
	if command.Bool("summary") {
		if len(given) == 0 {
			return usageError("explain --summary needs a file, or - for standard input")
		}
		return p.summarize(command, given)
	}
	if len(given) < 2 {
		return usageError("explain needs the id of a request and a file, or - for standard input")
	}
	trail := proxylog.NewTrail(given[0])
	unreadable, err := p.readLogs(given[1:], trail.Take)
	if err != nil {
		return err
	}
	if omitted := trail.Omitted(); omitted > 0 {
		fmt.Fprintf(p.stderr, "carawayctl: %d lines about changes were left out; give logs of a shorter time\n", omitted)
	}
	if !trail.Found() {
		return eris.Wrap(errNoRequest, given[0])
	}
	return p.show(command, trailOutput(given[0], trail, unreadable), func(w io.Writer) {
		for _, e := range trail.Entries() {
			showEntry(w, e)
		}
	})
}

// readLogs reads the files and names on standard error what could not be read.
func (p *program) readLogs(files []string, take func(*proxylog.Line)) ([]proxylog.Unreadable, error) {
	unreadable, err := proxylog.Read(files, p.stdin, take)
	for _, u := range unreadable {
		fmt.Fprintf(p.stderr, "carawayctl: %s: %d lines could not be read, the first is line %d: %s\n",
			u.File, u.Lines, u.First, u.Cause)
	}
	return unreadable, err
}

// The forms of the answers of explain in JSON.
type (
	explanation struct {
		Request    string                `json:"request"`
		Entries    []explanationEntry    `json:"entries"`
		Unreadable []proxylog.Unreadable `json:"unreadable,omitempty"`
		Omitted    int                   `json:"omitted,omitempty"`
	}
	explanationEntry struct {
		Time     time.Time         `json:"time"`
		Machine  string            `json:"machine"`
		Relation proxylog.Relation `json:"relation"`
		Line     json.RawMessage   `json:"line"`
	}
	summary struct {
		Counts     []proxylog.Count      `json:"counts"`
		LeftOut    int                   `json:"left_out"`
		Unreadable []proxylog.Unreadable `json:"unreadable,omitempty"`
	}
)

func trailOutput(id string, trail *proxylog.Trail, unreadable []proxylog.Unreadable) explanation {
	o := explanation{Request: id, Unreadable: unreadable, Omitted: trail.Omitted()}
	for _, e := range trail.Entries() {
		l := e.Line()
		o.Entries = append(o.Entries, explanationEntry{Time: l.At(), Machine: l.Machine(), Relation: e.Relation(), Line: l.Raw()})
	}
	return o
}

// showEntry prints a line. Lines that are not of the request itself are marked by why
// they belong to it.
func showEntry(w io.Writer, e proxylog.Entry) {
	l := e.Line()
	mark := ""
	if e.Relation() != proxylog.OfRequest {
		mark = string(e.Relation())
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.At().Format(lineTime), l.Machine(), mark, l.Message(), fieldsOf(l.Raw()))
}

// fieldWidth is the most bytes of a field that are printed as text.
const fieldWidth = 120

// fieldsOf returns the fields of a line that its columns do not show, by name.
func fieldsOf(raw json.RawMessage) string {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return string(raw)
	}
	for _, shown := range []string{"level", "ts", "msg", "request"} {
		delete(fields, shown)
	}
	var words []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		value := strings.Trim(string(fields[name]), `"`)
		if len(value) > fieldWidth {
			value = value[:fieldWidth] + "..."
		}
		words = append(words, name+"="+value)
	}
	return strings.Join(words, " ")
}

func (p *program) summarize(command *cli.Command, files []string) error {
	collected := proxylog.NewSummary()
	unreadable, err := p.readLogs(files, collected.Take)
	if err != nil {
		return err
	}
	o := summary{Counts: collected.Counts(), LeftOut: collected.LeftOut(), Unreadable: unreadable}
	return p.show(command, o, func(w io.Writer) {
		fmt.Fprintln(w, "MINUTE\tREQUESTS\tOUTCOME\tREASON\tSERVICE")
		for _, c := range o.Counts {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", c.Minute.Format("2006-01-02 15:04"), c.Lines, c.Outcome, c.Reason, c.Service)
		}
		if o.LeftOut > 0 {
			fmt.Fprintf(w, "the proxies left out %d more lines\n", o.LeftOut)
		}
	})
}
