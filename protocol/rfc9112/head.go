package rfc9112

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"iter"
	"math"
	"net/http"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrMalformed means that a message violates the grammar.
var ErrMalformed = eris.New("rfc9112: malformed message")

const (
	lineEnd   = "\r\n"
	version   = "HTTP/1."
	headBytes = 1 << 10
	// maxKeptHeadBytes bounds the memory of heads between messages.
	maxKeptHeadBytes = 16 << 10
)

// buffers hold a head while it is parsed.
type buffers struct {
	head   []byte
	source bytes.Reader
	reader *bufio.Reader
}

var pool = sync.Pool{New: func() any {
	b := &buffers{head: make([]byte, 0, headBytes)}
	b.reader = bufio.NewReaderSize(&b.source, headBytes)
	return b
}}

func (b *buffers) release() {
	if cap(b.head) <= maxKeptHeadBytes {
		pool.Put(b)
	}
}

// parser returns a reader of the head.
func (b *buffers) parser() *bufio.Reader {
	b.source.Reset(b.head)
	b.reader.Reset(&b.source)
	return b.reader
}

// read reads a head with a start line of the given form and returns its framing.
func (b *buffers) read(reader *bufio.Reader, checkStart func(line []byte) (http10 bool, err error)) (framing, error) {
	var start int
	var f framing
	var err error
	if b.head, start, f, err = readHead(reader, b.head[:0]); err != nil {
		return f, err
	}
	http10, err := checkStart(b.head[:start])
	if err != nil {
		return f, err
	}
	return f, f.check(http10)
}

// framing counts the fields that determine where a message ends, and those of which a request
// must have only one.
type framing struct {
	lengths, encodings, hosts int
	length, host              string // the last values
}

// checkField returns an error unless the line, without its end, is a field. The name must follow
// the start of the line and precede the colon directly (RFC 9112, section 5).
func checkField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found {
		return nil, nil, eris.Wrapf(ErrMalformed, "line without a colon: %.40q", line)
	}
	if !isToken(name) {
		return nil, nil, eris.Wrapf(ErrMalformed, "name of a field: %.40q", name)
	}
	if !isText(value) {
		return nil, nil, eris.Wrapf(ErrMalformed, "value of the field %s: %.40q", name, value)
	}
	return name, bytes.Trim(value, " \t"), nil
}

func (f *framing) add(name, value []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.lengths++
		f.length = string(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.encodings++
	case bytes.EqualFold(name, []byte("Host")):
		f.hosts++
		f.host = string(value)
	}
}

// check returns an error if it is ambiguous where the message ends (RFC 9112, section 6.3).
// HTTP/1.0 has no transfer encodings.
func (f *framing) check(http10 bool) error {
	switch {
	case f.lengths > 1:
		return eris.Wrap(ErrMalformed, "several lengths")
	case f.encodings > 1:
		return eris.Wrap(ErrMalformed, "several transfer encodings")
	case f.lengths > 0 && f.encodings > 0:
		return eris.Wrap(ErrMalformed, "a length and a transfer encoding")
	case http10 && f.encodings > 0:
		return eris.Wrap(ErrMalformed, "a transfer encoding in HTTP/1.0")
	}
	return nil
}

// CheckNames returns an error if a header that net/http has read has names that the grammar
// forbids. Line feeds alone and continuation lines are not visible in it.
func CheckNames(header http.Header) error {
	for name := range header {
		if !isToken([]byte(name)) {
			return eris.Wrapf(ErrMalformed, "name of a field: %.40q", name)
		}
	}
	return nil
}

// ConnectionFields returns the names, in canonical form, of the fields that Connection lists and
// that are not forwarded (RFC 9110, section 7.6.1).
func ConnectionFields(header http.Header) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, value := range header["Connection"] {
			for name := range strings.SplitSeq(value, ",") {
				if !yield(http.CanonicalHeaderKey(strings.TrimSpace(name))) {
					return
				}
			}
		}
	}
}

// CheckSingle returns an error if one of the fields occurs more than once. Names are in canonical
// form.
func CheckSingle(header http.Header, names ...string) error {
	for _, name := range names {
		if len(header[name]) > 1 {
			return eris.Wrapf(ErrMalformed, "repeated field %s", name)
		}
	}
	return nil
}

// readHead appends the lines of a head, with the empty one that ends it, to b and returns the
// length of the start line. The reader bounds the size of the head. Its errors are returned
// unchanged, except that the end of the stream before the end of the head is
// [io.ErrUnexpectedEOF], or [ErrMalformed] within a line.
func readHead(reader *bufio.Reader, b []byte) (head []byte, start int, f framing, err error) {
	b, line, err := readLine(reader, b, math.MaxInt)
	if err != nil {
		return b, 0, f, err
	}
	start = len(line)
	for {
		b, line, err = readLine(reader, b, math.MaxInt)
		if err != nil {
			return b, start, f, err
		}
		if len(line) == 0 {
			return b, start, f, nil
		}
		name, value, err := checkField(line)
		if err != nil {
			return b, start, f, err
		}
		f.add(name, value)
	}
}

// readLine appends a line to b, which may get as long as limit, and returns the content of the
// line without its end.
func readLine(reader *bufio.Reader, b []byte, limit int) (head, line []byte, err error) {
	start := len(b)
	for len(b) <= limit {
		part, err := reader.ReadSlice('\n')
		b = append(b, part...)
		switch {
		case err == nil:
			content, ended := bytes.CutSuffix(b[start:], []byte(lineEnd))
			if !ended {
				return b, nil, eris.Wrapf(ErrMalformed, "line that ends with a line feed alone: %.40q", b[start:])
			}
			return b, content, nil
		case errors.Is(err, bufio.ErrBufferFull):
		case !errors.Is(err, io.EOF):
			return b, nil, err
		case len(b) > start:
			return b, nil, eris.Wrapf(ErrMalformed, "incomplete line: %.40q", b[start:])
		default:
			return b, nil, io.ErrUnexpectedEOF
		}
	}
	return b, nil, eris.Wrapf(ErrMalformed, "more than %d bytes", limit)
}

// cutVersion returns the bytes after the version, and whether it is HTTP/1.0.
func cutVersion(line []byte) (rest []byte, http10, valid bool) {
	rest, found := bytes.CutPrefix(line, []byte(version))
	if !found || len(rest) == 0 || rest[0] != '0' && rest[0] != '1' {
		return nil, false, false
	}
	return rest[1:], rest[0] == '0', true
}

// isToken reports whether the bytes are a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether the bytes may stand in the value of a field (RFC 9110, section 5.5).
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

var tokenBytes = byteSet("!#$%&'*+-.^_`|~")

// byteSet returns the set of letters, digits and the other bytes.
func byteSet(others string) (set [256]bool) {
	for c := range set {
		letter := c | 0x20
		set[c] = '0' <= c && c <= '9' || 'a' <= letter && letter <= 'z' && c < 0x80 || strings.IndexByte(others, byte(c)) >= 0
	}
	return set
}
