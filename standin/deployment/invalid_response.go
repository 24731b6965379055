package deployment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
)

// invalidName is a part of the names of invalid fields, by which callers know them.
const invalidName = "Odd"

// invalidStarts are what precedes the fields of a response whose head violates the grammar: a
// status line with an invalid field, or a head with a status that does not exist.
var invalidStarts = []string{
	"HTTP/1.1 200 OK\r\nX-" + invalidName + " : 1\r\n",
	"HTTP/1.1 200 OK\r\nX " + invalidName + ": 1\r\n",
	"HTTP/1.1 200 OK\r\nX-\x01" + invalidName + ": 1\r\n",
	"HTTP/1.1 200 OK\r\nX-First: 1\r\n X-" + invalidName + ": 1\r\n",
	"HTTP/1.1 200 OK\r\nX-" + invalidName + ": 1\nContent-Length : 1\r\n",
	"HTTP/1.1 000 " + invalidName + "\r\n\r\nHTTP/1.1 200 OK\r\nX-" + invalidName + ": 1\r\n",
	"HTTP/1.1 999 " + invalidName + "\r\n",
}

// writeInvalidHead sends a success with the whole body after a head that violates the grammar.
func writeInvalidHead(w io.Writer, id, fields, body string) {
	if rand.IntN(len(invalidStarts)+1) == 0 {
		// A line feed before a name ends the head early.
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\nX-%s: 1\r\nContent-Length: %d\r\n\r\n%s",
			HeaderRequestID, id, fields, invalidName, len(body), body)
		return
	}
	_, _ = fmt.Fprintf(w, "%s%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		invalidStarts[rand.IntN(len(invalidStarts))], HeaderRequestID, id, fields, len(body), body)
}

// hasInvalidField reports whether a response has a field of writeInvalidHead.
func hasInvalidField(header http.Header) bool {
	for name, values := range header {
		if strings.Contains(name, invalidName) || strings.Contains(strings.Join(values, " "), invalidName) {
			return true
		}
	}
	return false
}

// resetDuringUpload runs a request whose body it does not read, and resets the connection after a
// part of the response.
func (e *Endpoint) resetDuringUpload(conn *recordingConn, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	_, leaving := e.arrive(id)
	execution := e.record(r, id, "")
	e.executions.mu.Lock()
	execution.Early = true
	e.executions.mu.Unlock()
	content := Content(id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s%s: %s.%s\r\n\r\n%s",
		HeaderRequestID, id, leaving, HeaderStamp, e.id, id, content[:len(content)/2])
	setReset(conn.Conn)
}
