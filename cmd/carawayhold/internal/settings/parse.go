package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Parse parses settings and returns all mistakes, sorted by position. The settings
// are valid only if there are none. A syntax error is reported as the only mistake.
func Parse(content []byte) (Settings, []Mistake) {
	s := Settings{
		Platform: Platform{WritesPerSecond: defaultWritesPerSecond},
		Shutdown: Shutdown{BalancerLagMillis: defaultBalancerLagMillis, DrainTimeoutMillis: defaultDrainTimeoutMillis},
		Log:      Log{Level: defaultLevel},
	}
	root, err := hujson.Parse(content)
	if err != nil {
		return s, []Mistake{syntaxMistake(err)}
	}
	p := &parser{content: content, listeners: map[string]string{}}
	p.object("", &root, schema(&s))
	slices.SortStableFunc(p.mistakes, func(a, b Mistake) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return s, p.mistakes
}

// syntaxErrorPattern matches the position and text in an error of the hujson
// parser.
var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxMistake(err error) Mistake {
	m := Mistake{Line: 1, Column: 1, Text: err.Error()}
	if parts := syntaxErrorPattern.FindStringSubmatch(err.Error()); parts != nil {
		m.Line, _ = strconv.Atoi(parts[1])
		m.Column, _ = strconv.Atoi(parts[2])
		m.Text = parts[3]
	}
	return m
}

// parser collects mistakes while it traverses a syntax tree.
type parser struct {
	content   []byte
	mistakes  []Mistake
	listeners map[string]string // path of the field by listen address
}

// field describes a member of an object.
type field struct {
	name     string
	optional bool
	read     func(p *parser, path string, v *hujson.Value)
}

func (p *parser) add(offset int, path, format string, values ...any) {
	before := p.content[:min(offset, len(p.content))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	p.mistakes = append(p.mistakes, Mistake{line, column, path, fmt.Sprintf(format, values...)})
}

// object reads the members of an object and adds a mistake for each one that is
// unknown, repeated or missing.
func (p *parser) object(path string, v *hujson.Value, fields []field) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.add(v.StartOffset, path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := literalString(&member.Name)
		fullPath := join(path, name)
		at := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
		switch {
		case at < 0:
			p.add(member.Name.StartOffset, fullPath, "unknown field; want one of %s", names(fields))
		case seen[name]:
			p.add(member.Name.StartOffset, fullPath, "field appears more than once")
		default:
			fields[at].read(p, fullPath, &member.Value)
		}
		seen[name] = true
	}
	for _, f := range fields {
		if !f.optional && !seen[f.name] {
			p.add(v.StartOffset, join(path, f.name), "required field is missing")
		}
	}
}

// stringField reads a string. The check returns an empty string for a valid value,
// and otherwise a description of valid values for the mistake.
func stringField(target *string, check func(string) string) func(*parser, string, *hujson.Value) {
	return func(p *parser, path string, v *hujson.Value) {
		literal, ok := v.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' {
			p.add(v.StartOffset, path, "must be a string")
			return
		}
		value := literal.String()
		if expected := check(value); expected != "" {
			p.add(v.StartOffset, path, "%q must be %s", value, expected)
			return
		}
		*target = value
	}
}

// stringList reads a list of strings, each with the check of stringField.
func stringList(target *[]string, check func(string) string) func(*parser, string, *hujson.Value) {
	return func(p *parser, path string, v *hujson.Value) {
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			p.add(v.StartOffset, path, "must be a list of strings")
			return
		}
		list := make([]string, len(array.Elements))
		for i := range array.Elements {
			stringField(&list[i], check)(p, path+"["+strconv.Itoa(i)+"]", &array.Elements[i])
		}
		*target = list
	}
}

// integer reads an integer from low to high. The unit appears in mistakes.
func integer(target *int64, unit string, low, high int64) func(*parser, string, *hujson.Value) {
	return func(p *parser, path string, v *hujson.Value) {
		literal, ok := v.Value.(hujson.Literal)
		n, err := strconv.ParseInt(string(literal), 10, 64)
		if !ok || err != nil || n < low || n > high {
			p.add(v.StartOffset, path, "must be a whole number of %s from %d to %d", unit, low, high)
			return
		}
		*target = n
	}
}

// nestedObject reads an object with the given fields.
func nestedObject(fields ...field) func(*parser, string, *hujson.Value) {
	return func(p *parser, path string, v *hujson.Value) { p.object(path, v, fields) }
}

func literalString(v *hujson.Value) string {
	literal, _ := v.Value.(hujson.Literal)
	var s string
	_ = json.Unmarshal(literal, &s)
	return s
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func names(fields []field) string {
	list := make([]string, len(fields))
	for i, f := range fields {
		list[i] = f.name
	}
	return strings.Join(list, ", ")
}
