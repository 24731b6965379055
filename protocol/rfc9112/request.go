package rfc9112

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/rotisserie/eris"
)

// hostBytes are those of a host and port (RFC 3986, section 3.2.2).
var hostBytes = byteSet("!$%&'()*+,-.:;=[]_~")

// ReadRequest is [ReadResponse] for requests, which must name one host unless they are of HTTP/1.0.
func ReadRequest(reader *bufio.Reader) (*http.Request, error) {
	b := pool.Get().(*buffers)
	defer b.release()
	f, err := b.read(reader, checkRequestLine)
	if err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(b.parser())
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if f.hosts > 1 || f.hosts == 0 && request.ProtoAtLeast(1, 1) || !isHost(f.host) {
		return nil, eris.Wrapf(ErrMalformed, "%d fields Host, the last %.40q", f.hosts, f.host)
	}
	if f.lengths+f.encodings == 0 {
		request.Body = http.NoBody
		return request, nil
	}
	request.Body = newBody(reader, f, request.ContentLength)
	return request, nil
}

// checkRequestLine returns an error unless the line is a request line, and reports whether it is one
// of HTTP/1.0. The target may contain bytes above 127, which many callers send in paths.
func checkRequestLine(line []byte) (http10 bool, err error) {
	method, rest, _ := bytes.Cut(line, []byte{' '})
	target, versionPart, found := bytes.Cut(rest, []byte{' '})
	end, http10, valid := cutVersion(versionPart)
	if !found || !valid || len(end) > 0 || !isToken(method) || len(target) == 0 || !isText(target) || bytes.IndexByte(target, '\t') >= 0 {
		return false, eris.Wrapf(ErrMalformed, "request line %.40q", line)
	}
	return http10, nil
}

func isHost(host string) bool {
	for i := range len(host) {
		if !hostBytes[host[i]] {
			return false
		}
	}
	return true
}
