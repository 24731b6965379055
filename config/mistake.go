package config

import (
	"fmt"
	"sort"
	"strings"
)

// maxMistakes bounds the list for one document, so that a small hostile
// document cannot produce an answer many times its own size.
const maxMistakes = 1000

// Mistake is one fault of an operator document.
type Mistake struct {
	// Line and Column count from 1, columns in characters. They are 0 when the
	// document did not come from text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path of the field, for example services[0].routes[1].class.
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	// Want says what would be right.
	Want string `json:"want,omitempty"`
}

// String returns the mistake on one line.
func (m Mistake) String() string {
	var text strings.Builder
	if m.Line > 0 {
		fmt.Fprintf(&text, "line %d, column %d: ", m.Line, m.Column)
	}
	if m.Field != "" {
		text.WriteString(m.Field + ": ")
	}
	text.WriteString(m.Problem)
	if m.Want != "" {
		text.WriteString("; want " + m.Want)
	}
	return text.String()
}

// Mistakes are all faults found in one document. It is an error, to be found
// with errors.As.
type Mistakes []Mistake

// Error returns one mistake per line.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, one := range m {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// asError returns nil for an empty list, so that a nil error stays nil.
func (m Mistakes) asError() error {
	if len(m) == 0 {
		return nil
	}
	return m
}

func (m *Mistakes) add(field, want, problem string, arguments ...any) {
	*m = append(*m, Mistake{Field: field, Want: want, Problem: fmt.Sprintf(problem, arguments...)})
}

// inOrder sorts by place in the text and shortens the list to maxMistakes.
func (m Mistakes) inOrder() Mistakes {
	sort.SliceStable(m, func(i, j int) bool {
		if m[i].Line != m[j].Line {
			return m[i].Line < m[j].Line
		}
		return m[i].Column < m[j].Column
	})
	if len(m) <= maxMistakes {
		return m
	}
	return append(m[:maxMistakes:maxMistakes], Mistake{Problem: "more mistakes are not listed"})
}
