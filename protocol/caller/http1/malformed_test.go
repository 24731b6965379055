package http1

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// malformedRequests violate the grammar of RFC 9112 or leave open where the request ends. A
// second request follows each, which a reader may take for a part of its body.
var malformedRequests = map[string]string{
	"length, blank":                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\n",
	"encoding, blank":              "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n",
	"blank in a name":              "GET /a HTTP/1.1\r\nHost: h\r\nX Odd: v\r\n\r\n",
	"blank before a name":          "GET /a HTTP/1.1\r\nHost: h\r\n X-Odd: v\r\n\r\n",
	"no name":                      "GET /a HTTP/1.1\r\nHost: h\r\n: v\r\n\r\n",
	"no colon":                     "GET /a HTTP/1.1\r\nHost: h\r\nX-Odd\r\n\r\n",
	"control byte in a name":       "GET /a HTTP/1.1\r\nHost: h\r\nX\x01: v\r\n\r\n",
	"control byte in a value":      "GET /a HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n",
	"carriage return in a value":   "GET /a HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n",
	"line feed alone":              "GET /a HTTP/1.1\r\nHost: h\nX: v\r\n\r\n",
	"empty line of a line feed":    "GET /a HTTP/1.1\r\nHost: h\r\n\nX: v\r\n\r\n",
	"line feeds alone":             "GET /a HTTP/1.1\nHost: h\n\n",
	"continuation line":            "GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
	"several lengths":              "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
	"different lengths":            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\nx",
	"length and encoding":          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"several encodings":            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
	"unknown encoding":             "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	"encoding in HTTP/1.0":         "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"length with a sign":           "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\nx",
	"no host":                      "GET /a HTTP/1.1\r\n\r\n",
	"two hosts":                    "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
	"host, blank":                  "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
	"host with a blank":            "GET /a HTTP/1.1\r\nHost: h i\r\n\r\n",
	"blank in the target":          "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
	"two blanks before the target": "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"control byte in the target":   "GET /a\x01 HTTP/1.1\r\nHost: h\r\n\r\n",
	"control byte in the method":   "G\x00T /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"HTTP/2.0":                     "GET /a HTTP/2.0\r\nHost: h\r\n\r\n",
	"HTTP/1.2":                     "GET /a HTTP/1.2\r\nHost: h\r\n\r\n",
	"no version":                   "GET /a\r\nHost: h\r\n\r\n",
	"blank in a trailer":           "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX : v\r\n\r\n",
	"line feed after a chunk":      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n",
	"size of a chunk with a sign":  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\nx\r\n0\r\n\r\n",
}

// Guards against request smuggling: a malformed request and what follows it reach no handler.
func TestMalformedRequestIsRefused(t *testing.T) {
	for name, raw := range malformedRequests {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			_, address := serve(t, r)
			conn, reader := dial(t, address)
			_, err := io.WriteString(conn, raw+get("/smuggled"))
			require.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
			require.True(t, response.Close)
			_, _ = io.Copy(io.Discard, response.Body)
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			require.Empty(t, r.take(), "the handler got a request")
		})
	}
}
