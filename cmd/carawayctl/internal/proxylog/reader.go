package proxylog

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"os"

	"github.com/rotisserie/eris"
)

const (
	// StandardInput is the file name that stands for standard input.
	StandardInput = "-"
	// lineLimit is the longest line in bytes that is read. The longest line of a proxy,
	// the registrations of a whole fleet, has some hundred kilobytes.
	lineLimit = 4 << 20
	// bufferSize is the first size of the buffer of a file in bytes.
	bufferSize = 64 << 10
)

// gzipMagic is how a compressed file begins (RFC 1952, section 2.3.1).
var gzipMagic = []byte{0x1f, 0x8b}

// Unreadable counts the lines of a file that could not be read.
type Unreadable struct {
	File  string `json:"file"`
	Lines int    `json:"lines"`
	First int    `json:"first"` // number of the first such line, from 1
	Cause string `json:"cause"` // of the first
}

// Read passes every line of the files to take, and returns what it could not read.
// Compressed files are recognised by their content. The error is of a file that could
// not be opened or read to its end; the lines before it were passed.
func Read(files []string, stdin io.Reader, take func(*Line)) ([]Unreadable, error) {
	var unreadable []Unreadable
	for _, name := range files {
		u, err := readFile(name, stdin, take)
		if u.Lines > 0 {
			unreadable = append(unreadable, u)
		}
		if err != nil {
			return unreadable, err
		}
	}
	return unreadable, nil
}

func readFile(name string, stdin io.Reader, take func(*Line)) (Unreadable, error) {
	if name == StandardInput {
		return readStream(name, stdin, take)
	}
	file, err := os.Open(name)
	if err != nil {
		return Unreadable{}, eris.Wrap(err, "proxylog: cannot open")
	}
	unreadable, err := readStream(name, file, take)
	return unreadable, errors.Join(err, file.Close())
}

func readStream(name string, stream io.Reader, take func(*Line)) (Unreadable, error) {
	unreadable := Unreadable{File: name}
	buffered := bufio.NewReaderSize(stream, bufferSize)
	if magic, err := buffered.Peek(len(gzipMagic)); err == nil && bytes.Equal(magic, gzipMagic) {
		plain, err := gzip.NewReader(buffered)
		if err != nil {
			return unreadable, eris.Wrapf(err, "proxylog: %s", name)
		}
		buffered = bufio.NewReaderSize(plain, bufferSize)
	}
	for number := 1; ; number++ {
		text, err := readLine(buffered)
		if errors.Is(err, io.EOF) && len(text) == 0 {
			return unreadable, nil
		}
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, errTooLong) {
			return unreadable, eris.Wrapf(err, "proxylog: %s, line %d", name, number)
		}
		if len(bytes.TrimSpace(text)) == 0 && err == nil {
			continue
		}
		cause := err
		var l *Line
		if !errors.Is(err, errTooLong) {
			l, cause = parse(text, name)
		}
		if cause != nil {
			if unreadable.Lines++; unreadable.Lines == 1 {
				unreadable.First, unreadable.Cause = number, cause.Error()
			}
			continue
		}
		take(l)
	}
}

var errTooLong = eris.New("proxylog: line too long")

// readLine returns the next line. A line beyond the limit is skipped and reported.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	tooLong := false
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > lineLimit {
			tooLong = true
		}
		if !tooLong {
			line = append(line, part...)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case tooLong:
			return nil, errTooLong
		default:
			return line, err
		}
	}
}
