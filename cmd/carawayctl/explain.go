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

// errRequestNotFound means that no log line names the request.
var errRequestNotFound = eris.New("no line of that request; an ordinary served request leaves none")

// timeFormat is the layout of the time of a log line in text output.
const timeFormat = "15:04:05.000"

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the log lines of a request, and of the changes that affected it, from the logs of many proxies",
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
	trace := proxylog.NewTrace(given[0])
	unreadable, err := p.readLogs(given[1:], trace.Add)
	if err != nil {
		return err
	}
	if omitted := trace.Omitted(); omitted > 0 {
		fmt.Fprintf(p.stderr, "carawayctl: %d lines about changes were left out; give logs of a shorter time\n", omitted)
	}
	if !trace.Found() {
		return eris.Wrap(errRequestNotFound, given[0])
	}
	return p.show(command, newExplanation(given[0], trace, unreadable), func(w io.Writer) {
		for _, e := range trace.Entries() {
			showEntry(w, e)
		}
	})
}

// readLogs passes the lines of the files to take and reports unreadable lines on standard
// error.
func (p *program) readLogs(files []string, take func(*proxylog.Line)) ([]proxylog.Unreadable, error) {
	unreadable, err := proxylog.Read(files, p.stdin, take)
	for _, u := range unreadable {
		fmt.Fprintf(p.stderr, "carawayctl: %s: %d lines could not be read, the first is line %d: %s\n",
			u.File, u.Lines, u.First, u.Cause)
	}
	return unreadable, err
}

// The JSON output of explain.
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
		Omitted    int                   `json:"left_out"`
		Unreadable []proxylog.Unreadable `json:"unreadable,omitempty"`
	}
)

func newExplanation(id string, trace *proxylog.Trace, unreadable []proxylog.Unreadable) explanation {
	o := explanation{Request: id, Unreadable: unreadable, Omitted: trace.Omitted()}
	for _, e := range trace.Entries() {
		l := e.Line()
		o.Entries = append(o.Entries, explanationEntry{Time: l.At(), Machine: l.Machine(), Relation: e.Relation(), Line: l.Raw()})
	}
	return o
}

// showEntry prints a line. A line that is not about the request itself is marked with its
// relation.
func showEntry(w io.Writer, e proxylog.Entry) {
	l := e.Line()
	mark := ""
	if e.Relation() != proxylog.RelationRequest {
		mark = string(e.Relation())
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.At().Format(timeFormat), l.Machine(), mark, l.Message(), fieldsOf(l.Raw()))
}

// maxFieldBytes limits the length of a field in text output.
const maxFieldBytes = 120

// fieldsOf returns the fields of a line that have no column, sorted by name.
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
		if len(value) > maxFieldBytes {
			value = value[:maxFieldBytes] + "..."
		}
		words = append(words, name+"="+value)
	}
	return strings.Join(words, " ")
}

func (p *program) summarize(command *cli.Command, files []string) error {
	counted := proxylog.NewSummary()
	unreadable, err := p.readLogs(files, counted.Add)
	if err != nil {
		return err
	}
	o := summary{Counts: counted.Counts(), Omitted: counted.Omitted(), Unreadable: unreadable}
	return p.show(command, o, func(w io.Writer) {
		fmt.Fprintln(w, "MINUTE\tREQUESTS\tOUTCOME\tREASON\tSERVICE")
		for _, c := range o.Counts {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", c.Minute.Format("2006-01-02 15:04"), c.Lines, c.Outcome, c.Reason, c.Service)
		}
		if o.Omitted > 0 {
			fmt.Fprintf(w, "the proxies left out %d more lines\n", o.Omitted)
		}
	})
}
