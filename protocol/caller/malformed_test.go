package caller_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/config"
)

const requestHead = " /lager/1 HTTP/1.1\r\nHost: h\r\nX-Team: graz\r\n"

// malformedRequests violate the grammar of RFC 9112.
var malformedRequests = map[string]string{
	"length, blank":           "PUT" + requestHead + "Content-Length : 5\r\n\r\n",
	"encoding, blank":         "PUT" + requestHead + "Transfer-Encoding : chunked\r\n\r\n",
	"blank in a name":         "GET" + requestHead + "X Odd: v\r\n\r\n",
	"no name":                 "GET" + requestHead + ": v\r\n\r\n",
	"control byte in a name":  "GET" + requestHead + "X\x01: v\r\n\r\n",
	"control byte in a value": "GET" + requestHead + "X: a\x00b\r\n\r\n",
	"different lengths":       "PUT" + requestHead + "Content-Length: 0\r\nContent-Length: 1\r\n\r\nx",
	"several encodings":       "PUT" + requestHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
	"unknown encoding":        "PUT" + requestHead + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	"two hosts":               "GET" + requestHead + "Host: i\r\n\r\n",
	"line feed after a chunk": "PUT" + requestHead + "Transfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n",
}

// ambiguousRequests are requests that http.Server reads in one of several ways.
var ambiguousRequests = map[string]string{
	"line feed alone":           "GET" + requestHead + "X: v\nY: w\r\n\r\n",
	"empty line of a line feed": "GET" + requestHead + "\nX: v\r\n\r\n",
	"continuation line":         "GET" + requestHead + "X: a\r\n b\r\n\r\n",
	"several lengths":           "PUT" + requestHead + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
	"length and encoding":       "PUT" + requestHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"blank in a trailer":        "PUT" + requestHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX : v\r\n\r\n",
}

// requireForwarded sends each request with another one behind it and requires that so many of the two
// reach the endpoint.
func requireForwarded(t *testing.T, requests map[string]string, count int64) {
	t.Helper()
	for name, raw := range requests {
		t.Run(name, func(t *testing.T) {
			var forwarded atomic.Int64
			backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				forwarded.Add(1)
				echo(w, r)
			})
			p := startProxy(t, []config.Service{lager(backend)})
			conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(clientTimeout)))
			_, err = io.WriteString(conn, raw+"GET"+requestHead+"Connection: close\r\n\r\n")
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, conn)
			require.Equal(t, count, forwarded.Load())
		})
	}
}

func TestMalformedRequestReachesNoEndpoint(t *testing.T) { requireForwarded(t, malformedRequests, 0) }

func TestAmbiguousRequestReachesNoEndpoint(t *testing.T) { requireForwarded(t, ambiguousRequests, 0) }

func TestRequestsOfOneConnectionAreForwarded(t *testing.T) {
	requireForwarded(t, map[string]string{
		"length": "PUT" + requestHead + "Content-Length: 1\r\n\r\nx",
		"chunks": "PUT" + requestHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
	}, 2)
}
