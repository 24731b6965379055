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
	// maxLineBytes limits the length of a line. The longest line that a proxy writes, with
	// the registrations of a whole fleet, has a few hundred kilobytes.
	maxLineBytes = 4 << 20
	// bufferSize is the size of the read buffer of a file in bytes.
	bufferSize = 64 << 10
)

// gzipMagic is the first two bytes of a gzip file (RFC 1952, section 2.3.1).
var gzipMagic = []byte{0x1f, 0x8b}

// Unreadable describes the lines of a file that could not be parsed.
type Unreadable struct {
	File  string `json:"file"`
	Lines int    `json:"lines"`
	First int    `json:"first"` // number of the first unreadable line, counted from 1
	Cause string `json:"cause"` // error of the first unreadable line
}

// Read passes every log line of the files to take and returns the lines that it could not
// parse. It detects compressed files by their content. An error means that a file could
// not be opened or read to its end; take has then received the lines before it.
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
		decompressed, err := gzip.NewReader(buffered)
		if err != nil {
			return unreadable, eris.Wrapf(err, "proxylog: %s", name)
		}
		buffered = bufio.NewReaderSize(decompressed, bufferSize)
	}
	for number := 1; ; number++ {
		text, err := readLine(buffered)
		if errors.Is(err, io.EOF) && len(text) == 0 {
			return unreadable, nil
		}
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, errLineTooLong) {
			return unreadable, eris.Wrapf(err, "proxylog: %s, line %d", name, number)
		}
		if len(bytes.TrimSpace(text)) == 0 && err == nil {
			continue
		}
		cause := err
		var l *Line
		if !errors.Is(err, errLineTooLong) {
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

var errLineTooLong = eris.New("proxylog: line too long")

// readLine returns the next line. It skips a line longer than maxLineBytes and returns
// errLineTooLong.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	tooLong := false
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > maxLineBytes {
			tooLong = true
		}
		if !tooLong {
			line = append(line, part...)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case tooLong:
			return nil, errLineTooLong
		default:
			return line, err
		}
	}
}
