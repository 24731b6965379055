package settings

import "fmt"

// Mistake is an error in a settings file. Line and Column are 1-based; Column
// counts bytes.
type Mistake struct {
	Line   int
	Column int
	Field  string // the path of the field, for example "caller.listen"
	Text   string
}

// String returns the mistake in the form "line:column: field: text".
func (m Mistake) String() string {
	if m.Field == "" {
		return fmt.Sprintf("%d:%d: %s", m.Line, m.Column, m.Text)
	}
	return fmt.Sprintf("%d:%d: %s: %s", m.Line, m.Column, m.Field, m.Text)
}
