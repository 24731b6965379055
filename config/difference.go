package config

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Change says whether a service or field was added, removed or changed.
type Change string

// The kinds of changes.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// FieldDifference is one field that differs. Before and After are JSON values; Before
// is empty for an added field and After for a removed one.
type FieldDifference struct {
	Field  string `json:"field"`
	Change Change `json:"change"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// ServiceDifference lists the differences of one service.
type ServiceDifference struct {
	Service string            `json:"service"`
	Change  Change            `json:"change"`
	Fields  []FieldDifference `json:"fields"`
}

// Difference lists the services that differ, in the order of their names.
type Difference []ServiceDifference

// Diff returns the difference between two sets of services. It pairs endpoints and
// classes by name, and routes by host, path prefix and methods, so that a changed
// order makes no difference. An unset field equals one that is set to the default.
func Diff(before, after []Service) Difference {
	oldByName := byName(before)
	newByName := byName(after)
	var difference Difference
	for _, name := range unionOfNames(oldByName, newByName) {
		b, had := oldByName[name]
		a, has := newByName[name]
		service := ServiceDifference{Service: name, Change: ChangeChanged, Fields: diffFields(flatten(b, had), flatten(a, has))}
		switch {
		case !had:
			service.Change = ChangeAdded
		case !has:
			service.Change = ChangeRemoved
		case len(service.Fields) == 0:
			continue
		}
		difference = append(difference, service)
	}
	return difference
}

func byName(services []Service) map[string]Service {
	named := map[string]Service{}
	for _, s := range services {
		named[s.Name] = s
	}
	return named
}

func unionOfNames(sets ...map[string]Service) []string {
	all := map[string]bool{}
	for _, set := range sets {
		for name := range set {
			all[name] = true
		}
	}
	return sortedKeys(all)
}

func sortedKeys(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// label returns the text that identifies a route in a difference, for example
// "GET depot.example/bookings".
func (r Route) label() string {
	method := anyMethod
	if len(r.Methods) > 0 {
		method = strings.Join(sortedCopy(r.Methods), ",")
	}
	return method + " " + r.Host + r.PathPrefix
}

// flatten returns the fields of a service as a map from path to JSON value. It omits
// the fields that the JSON encoding omits when they are zero.
func flatten(s Service, exists bool) map[string]string {
	fields := map[string]string{}
	if !exists {
		return fields
	}
	s = s.normalised()
	for _, r := range s.Routes {
		fields["routes["+r.label()+"].class"] = encode(r.Class)
	}
	for _, e := range s.Endpoints {
		flattenStruct("endpoints["+e.Name+"].", e, fields)
	}
	for _, c := range s.Classes {
		flattenStruct("classes["+c.Name+"].", c, fields)
	}
	s.Routes, s.Endpoints, s.Classes = nil, nil, nil
	flattenStruct("", s, fields)
	return fields
}

func flattenStruct(prefix string, value any, fields map[string]string) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal([]byte(encode(value)), &members); err != nil {
		panic(err) // cannot happen: value is a struct of this package
	}
	for name, member := range members {
		if name != "name" && string(member) != "null" {
			fields[prefix+name] = string(member)
		}
	}
}

func encode(value any) string {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: strings, numbers, booleans and lists of them always encode
	}
	return string(content)
}

func diffFields(before, after map[string]string) []FieldDifference {
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var fields []FieldDifference
	for _, name := range sortedKeys(names) {
		b, had := before[name]
		a, has := after[name]
		switch {
		case !had:
			fields = append(fields, FieldDifference{Field: name, Change: ChangeAdded, After: a})
		case !has:
			fields = append(fields, FieldDifference{Field: name, Change: ChangeRemoved, Before: b})
		case a != b:
			fields = append(fields, FieldDifference{Field: name, Change: ChangeChanged, Before: b, After: a})
		}
	}
	return fields
}

// String returns one line for each service, followed by one line for each field that
// is added ("+"), removed ("-") or changed ("~").
func (d Difference) String() string {
	if len(d) == 0 {
		return "no changes\n"
	}
	var text strings.Builder
	for _, s := range d {
		fmt.Fprintf(&text, "%s service %s (%s)\n", s.Change.sign(), s.Service, s.Change)
		for _, f := range s.Fields {
			text.WriteString("    " + f.String() + "\n")
		}
	}
	return text.String()
}

// String returns the field difference on one line.
func (f FieldDifference) String() string {
	switch f.Change {
	case ChangeAdded:
		return "+ " + f.Field + ": " + f.After
	case ChangeRemoved:
		return "- " + f.Field + ": " + f.Before
	default:
		return "~ " + f.Field + ": " + f.Before + " -> " + f.After
	}
}

func (c Change) sign() string {
	switch c {
	case ChangeAdded:
		return "+"
	case ChangeRemoved:
		return "-"
	default:
		return "~"
	}
}

// Summary returns the changed services without their fields, on one line.
func (d Difference) Summary() string {
	var parts []string
	for _, s := range d {
		part := fmt.Sprintf("%s %s", s.Change, s.Service)
		if s.Change == ChangeChanged {
			part += fmt.Sprintf(" (%d fields)", len(s.Fields))
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "; ")
}

// IsRoute reports whether the field belongs to a route.
func (f FieldDifference) IsRoute() bool { return strings.HasPrefix(f.Field, "routes[") }
