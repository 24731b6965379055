package rfc9112

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
)

// maxTrailerBytes bounds the fields after a chunked body, which are not used.
const maxTrailerBytes = 8 << 10

func newBody(reader *bufio.Reader, f framing, length int64) io.ReadCloser {
	switch {
	case f.encodings > 0:
		return &chunkedBody{reader: reader, chunks: httputil.NewChunkedReader(reader)}
	case f.lengths > 0:
		return &knownBody{limited: io.LimitedReader{R: reader, N: length}}
	default:
		return io.NopCloser(reader)
	}
}

// knownBody is a body of known length.
type knownBody struct{ limited io.LimitedReader }

func (b *knownBody) Read(p []byte) (int, error) {
	n, err := b.limited.Read(p)
	if b.limited.N > 0 && errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *knownBody) Close() error { return nil }

// chunkedBody is a body in chunks with the trailer section.
type chunkedBody struct {
	reader *bufio.Reader
	chunks io.Reader
	err    error
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.readTrailer()
	}
	b.err = err
	return n, err
}

// readTrailer returns io.EOF after the fields that follow the last chunk and the empty line.
func (b *chunkedBody) readTrailer() error {
	var trailer []byte
	for {
		var line []byte
		var err error
		if trailer, line, err = readLine(b.reader, trailer, maxTrailerBytes); err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		if _, _, err := checkField(line); err != nil {
			return err
		}
	}
}

func (b *chunkedBody) Close() error { return nil }
