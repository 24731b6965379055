package proxylog

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
	"unicode"

	"github.com/rotisserie/eris"
)

// errNotALine means that a line is no log line of a proxy.
var errNotALine = eris.New("proxylog: not a log line")

// Line is one log line of a proxy.
type Line struct {
	at      time.Time
	machine string
	message string
	fields  map[string]any
	raw     json.RawMessage
}

// At returns the time at which the proxy wrote the line, by its own clock, or zero.
func (l *Line) At() time.Time { return l.at }

// Machine returns the name before the line, or else the file it was read from.
func (l *Line) Machine() string { return l.machine }

// Message returns what happened, such as "request: refused".
func (l *Line) Message() string { return l.message }

// Raw returns the line as the proxy wrote it.
func (l *Line) Raw() json.RawMessage { return l.raw }

// text returns a field of the line, or "" if it has none of that name.
func (l *Line) text(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

// number returns a field of the line, or 0.
func (l *Line) number(name string) float64 {
	value, _ := l.fields[name].(float64)
	return value
}

// leftOutPrefix begins the messages that count lines which were not written. They have no
// time.
const leftOutPrefix = "log: lines "

// parse reads a line. What stands before the first brace was added by whoever collected
// the logs; its last word is taken as the name of the machine.
func parse(text []byte, file string) (*Line, error) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return nil, errNotALine
	}
	l := &Line{machine: file, raw: bytes.Clone(bytes.TrimSpace(text[brace:]))}
	notInName := func(r rune) bool { return unicode.IsSpace(r) || strings.ContainsRune("|:[]", r) }
	if words := strings.FieldsFunc(string(text[:brace]), notInName); len(words) > 0 {
		l.machine = words[len(words)-1]
	}
	if err := json.Unmarshal(l.raw, &l.fields); err != nil {
		return nil, eris.Wrap(errNotALine, err.Error())
	}
	if l.message = l.text("msg"); l.message == "" {
		return nil, errNotALine
	}
	if strings.HasPrefix(l.message, leftOutPrefix) {
		return l, nil
	}
	at, err := time.Parse(time.RFC3339Nano, l.text("ts"))
	if err != nil {
		return nil, eris.Wrap(errNotALine, err.Error())
	}
	l.at = at
	return l, nil
}
