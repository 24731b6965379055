package proxylog

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
	"unicode"

	"github.com/rotisserie/eris"
)

// errNotLogLine means that a line was not written by the logger of a proxy.
var errNotLogLine = eris.New("proxylog: not a log line")

// Line is one log line of a proxy.
type Line struct {
	at      time.Time
	machine string
	message string
	fields  map[string]any
	raw     json.RawMessage
}

// At returns the time at which the proxy wrote the line, by the clock of its machine. It
// is zero for the lines that count omitted lines.
func (l *Line) At() time.Time { return l.at }

// Machine returns the machine name in front of the line, or the file name if there is
// none.
func (l *Line) Machine() string { return l.machine }

// Message returns the log message, such as "request: refused".
func (l *Line) Message() string { return l.message }

// Raw returns the line as the proxy wrote it.
func (l *Line) Raw() json.RawMessage { return l.raw }

// text returns a string field of the line, or "" if it has none of that name.
func (l *Line) text(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

// number returns a numeric field of the line, or 0 if it has none of that name.
func (l *Line) number(name string) float64 {
	value, _ := l.fields[name].(float64)
	return value
}

// omittedLinesPrefix is the prefix of the messages that count lines which the proxy did
// not write. These messages have no timestamp.
const omittedLinesPrefix = "log: lines "

// parse parses a line. The text before the first brace was added by the log collector;
// its last word is the machine name.
func parse(text []byte, file string) (*Line, error) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return nil, errNotLogLine
	}
	l := &Line{machine: file, raw: bytes.Clone(bytes.TrimSpace(text[brace:]))}
	isSeparator := func(r rune) bool { return unicode.IsSpace(r) || strings.ContainsRune("|:[]", r) }
	if words := strings.FieldsFunc(string(text[:brace]), isSeparator); len(words) > 0 {
		l.machine = words[len(words)-1]
	}
	if err := json.Unmarshal(l.raw, &l.fields); err != nil {
		return nil, eris.Wrap(errNotLogLine, err.Error())
	}
	if l.message = l.text("msg"); l.message == "" {
		return nil, errNotLogLine
	}
	if strings.HasPrefix(l.message, omittedLinesPrefix) {
		return l, nil
	}
	at, err := time.Parse(time.RFC3339Nano, l.text("ts"))
	if err != nil {
		return nil, eris.Wrap(errNotLogLine, err.Error())
	}
	l.at = at
	return l, nil
}
