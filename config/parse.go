package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxNesting limits the depth of a document, since the syntax parser is recursive. A
// valid document has a depth of 5.
const maxNesting = 32

// Parse decodes and validates an operator document in JSON, which may contain
// comments and trailing commas. The error is of type Mistakes and lists all mistakes
// with their positions, up to a limit. A syntax error is reported alone.
func Parse(content []byte) (Document, error) {
	var document Document
	text := sourceText(content)
	if mistake, bad := checkText(text); bad {
		return Document{}, Mistakes{mistake}
	}
	tree, err := hujson.Parse(content)
	if err != nil {
		return Document{}, Mistakes{text.syntaxMistake(err)}
	}
	d := &decoder{text: text, offsets: map[string]int{}, invalidFields: map[string]bool{}}
	d.decode(tree, reflect.ValueOf(&document).Elem(), "")
	mistakes := append(d.mistakes, d.validate(document)...)
	if len(mistakes) > 0 {
		return Document{}, mistakes.sortedAndLimited()
	}
	return document, nil
}

// checkText reports text that must not be passed to the syntax parser.
func checkText(text sourceText) (Mistake, bool) {
	if !utf8.Valid(text) {
		offset := 0
		for offset < len(text) {
			r, size := utf8.DecodeRune(text[offset:])
			if r == utf8.RuneError && size == 1 {
				break
			}
			offset += size
		}
		return text.mistake(offset, "", "the text is not valid UTF-8", "text in UTF-8"), true
	}
	if offset, deep := findTooDeep(text, maxNesting); deep {
		return text.mistake(offset, "", "the document is nested too deeply",
			fmt.Sprintf("at most %d levels", maxNesting)), true
	}
	return Mistake{}, false
}

// findTooDeep returns the offset of the first bracket that exceeds limit levels of
// nesting.
func findTooDeep(content []byte, limit int) (int, bool) {
	depth := 0
	for i := 0; i < len(content); i++ {
		switch content[i] {
		case '"':
			i = stringEnd(content, i)
		case '/':
			i = commentEnd(content, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > limit {
			return i, true
		}
	}
	return 0, false
}

// stringEnd returns the index of the closing quote of the string that starts at i, or
// at least len(content) if it is not closed.
func stringEnd(content []byte, i int) int {
	for i++; i < len(content) && content[i] != '"'; i++ {
		if content[i] == '\\' {
			i++
		}
	}
	return i
}

// commentEnd returns the index of the last byte of the comment that starts at i,
// len(content) if it is not closed, or i if no comment starts there.
func commentEnd(content []byte, i int) int {
	terminator := "\n"
	switch {
	case i+1 < len(content) && content[i+1] == '/':
	case i+1 < len(content) && content[i+1] == '*':
		terminator = "*/"
	default:
		return i
	}
	length := bytes.Index(content[i+2:], []byte(terminator))
	if length < 0 {
		return len(content)
	}
	return i + 2 + length + len(terminator) - 1
}

// sourceText is the text of a document. It converts byte offsets to positions.
type sourceText []byte

func (t sourceText) position(offset int) (line, column int) {
	before := t[:offset]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	return line, column
}

func (t sourceText) mistake(offset int, field, problem, want string) Mistake {
	line, column := t.position(offset)
	return Mistake{Line: line, Column: column, Field: field, Problem: problem, Want: want}
}

var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxMistake extracts the position from the syntax parser's error and converts its
// column from bytes to characters.
func (t sourceText) syntaxMistake(err error) Mistake {
	const want = "JSON, in which comments and trailing commas are allowed"
	parts := syntaxError.FindStringSubmatch(err.Error())
	if parts == nil {
		return Mistake{Problem: err.Error(), Want: want}
	}
	line, _ := strconv.Atoi(parts[1])
	column, _ := strconv.Atoi(parts[2])
	lines := strings.Split(string(t), "\n")
	if line <= len(lines) && column-1 <= len(lines[line-1]) {
		column = 1 + utf8.RuneCountInString(lines[line-1][:column-1])
	}
	return Mistake{Line: line, Column: column, Problem: parts[3], Want: want}
}

// decoder decodes a syntax tree into a document. Unlike encoding/json, it reports
// all mistakes instead of the first, compares the case of field names, and requires
// the fields without omitempty.
type decoder struct {
	text     sourceText
	mistakes Mistakes
	// offsets maps the path of each decoded field to its byte offset.
	offsets map[string]int
	// invalidFields contains the paths with a mistake, which validation skips.
	invalidFields map[string]bool
}

func (d *decoder) report(offset int, field, problem, want string) {
	d.invalidFields[field] = true
	if len(d.mistakes) <= maxMistakes {
		d.mistakes = append(d.mistakes, d.text.mistake(offset, field, problem, want))
	}
}

func (d *decoder) decode(value hujson.Value, target reflect.Value, path string) {
	d.offsets[path] = value.StartOffset
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(value, target, path)
	case reflect.Slice:
		d.decodeSlice(value, target, path)
	default:
		d.decodeLiteral(value, target, path)
	}
}

func (d *decoder) decodeStruct(value hujson.Value, target reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.wrongType(value, path, "an object")
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]int{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		offset := m.Name.StartOffset
		index, known := fields.index[name]
		if firstOffset, duplicate := seen[name]; duplicate {
			line, _ := d.text.position(firstOffset)
			d.report(offset, joinPath(path, name), fmt.Sprintf("the field is given twice, first on line %d", line), "it once")
			continue
		}
		seen[name] = offset
		if !known {
			d.report(offset, joinPath(path, name), "unknown field", "one of "+strings.Join(fields.names, ", "))
			continue
		}
		d.decode(m.Value, target.Field(index), joinPath(path, name))
	}
	for _, name := range fields.required {
		if _, given := seen[name]; !given {
			d.report(value.StartOffset, joinPath(path, name), "the field is missing", "the field "+name)
		}
	}
}

func (d *decoder) decodeSlice(value hujson.Value, target reflect.Value, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.wrongType(value, path, "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		d.decode(e, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeLiteral(value hujson.Value, target reflect.Value, path string) {
	literal, ok := value.Value.(hujson.Literal)
	kind := hujson.Kind(0)
	if ok {
		kind = literal.Kind()
	}
	switch target.Kind() {
	case reflect.String:
		if kind != '"' {
			d.wrongType(value, path, "a string")
			return
		}
		target.SetString(literal.String())
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.wrongType(value, path, "true or false")
			return
		}
		target.SetBool(literal.Bool())
	default:
		if kind != '0' {
			d.wrongType(value, path, "a whole number")
			return
		}
		number, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil || target.OverflowInt(number) {
			d.report(value.StartOffset, path, fmt.Sprintf("%s is not a whole number of 64 bits", literal), "a whole number")
			return
		}
		target.SetInt(number)
	}
}

func (d *decoder) wrongType(value hujson.Value, path, want string) {
	d.report(value.StartOffset, path, "found "+kindName(value), want)
}

func kindName(value hujson.Value) string {
	names := map[hujson.Kind]string{
		'n': "null", 't': "true", 'f': "false", '"': "a string", '0': "a number", '{': "an object", '[': "an array",
	}
	return names[value.Value.Kind()]
}

// validate checks the values that could be decoded and adds the position to each
// mistake. It omits mistakes that are consequences of a decoding mistake.
func (d *decoder) validate(document Document) Mistakes {
	var mistakes Mistakes
	for _, m := range document.check() {
		if d.isConsequence(m.Field) || m.Field == "" && len(d.invalidFields) > 0 {
			continue
		}
		m.Line, m.Column = d.text.position(d.offsetOf(m.Field))
		mistakes = append(mistakes, m)
		if len(mistakes) > maxMistakes {
			break
		}
	}
	return mistakes
}

// isConsequence reports whether the field or one of its parents had a decoding mistake.
func (d *decoder) isConsequence(field string) bool {
	for ; field != ""; field = parentPath(field) {
		if d.invalidFields[field] {
			return true
		}
	}
	return d.invalidFields[""]
}

// offsetOf returns the offset of the field, or of its nearest parent in the text.
func (d *decoder) offsetOf(field string) int {
	for ; field != ""; field = parentPath(field) {
		if offset, ok := d.offsets[field]; ok {
			return offset
		}
	}
	return d.offsets[""]
}

func parentPath(field string) string {
	end := strings.LastIndexAny(field, ".[")
	if end < 0 {
		return ""
	}
	return field[:end]
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

type structFields struct {
	index    map[string]int
	names    []string
	required []string
}

func fieldsOf(t reflect.Type) structFields {
	fields := structFields{index: map[string]int{}}
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields.index[name] = i
		fields.names = append(fields.names, name)
		if options != "omitempty" {
			fields.required = append(fields.required, name)
		}
	}
	return fields
}

// quote returns text of a document as a JSON string for a message, truncated to 80
// characters.
func quote(text string) string {
	const maxRunes = 80
	if utf8.RuneCountInString(text) > maxRunes {
		text = string([]rune(text)[:maxRunes]) + "…"
	}
	quoted, _ := json.Marshal(text)
	return string(quoted)
}
