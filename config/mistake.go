package config

import (
	"fmt"
	"sort"
	"strings"
)

// maxMistakes limits the list for one document, so that a small malicious document
// cannot cause a response many times its size.
const maxMistakes = 1000

// Mistake is one error in an operator document.
type Mistake struct {
	// Line and Column are the position in the text, counted from 1, with columns in
	// characters. They are 0 if the document was not parsed from text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the path of the field, for example services[0].routes[1].class.
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	// Want describes a correct value.
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

// Mistakes lists the errors in one document. It implements error and can be
// retrieved with errors.As.
type Mistakes []Mistake

// Error returns one mistake per line.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, mistake := range m {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// errorOrNil returns a nil error for an empty list; a conversion of the list to error
// would not be nil.
func (m Mistakes) errorOrNil() error {
	if len(m) == 0 {
		return nil
	}
	return m
}

func (m *Mistakes) add(field, want, problem string, arguments ...any) {
	*m = append(*m, Mistake{Field: field, Want: want, Problem: fmt.Sprintf(problem, arguments...)})
}

// sortedAndLimited sorts the list in place by position in the text and returns at most
// maxMistakes of it, followed by a note if any were dropped.
func (m Mistakes) sortedAndLimited() Mistakes {
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
