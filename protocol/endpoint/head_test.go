package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// strictDialects are those of the two programs: fields that the endpoints of a deployment
// declare, and the default.
var strictDialects = map[string]*Dialect{
	"deployment": NewDialect(headerRequestID, headerDeadline, headerNotRun, WithInstance("X-Instance"), WithRequiredField("X-Stamp"),
		WithRateLimit("X-Limit"), WithLeaving("X-Leaving"), WithRest(), WithCloseDelimited(), WithNonRepeatableReuse()),
	"default": defaultDialect,
}

// requireRefused sends a request that must not repeat, answers it with the bytes and requires
// that they are not taken for a response, a refusal or a notice.
func requireRefused(t *testing.T, dialect *Dialect, raw string) {
	t.Helper()
	b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
		if _, _, ok := b.read(reader); ok {
			_, _ = io.WriteString(conn, raw)
		}
	})
	gate := &recordingGate{}
	client := newTestClient(t, b.address(), WithSingleAttempt())
	result := do(t, client, NewRequest(onceRules.WithDialect(dialect), http.MethodPost, "/", "svc", "id-1",
		time.Now().Add(testDeadline), http.Header{}, []byte("stool")).WithGate(gate))
	require.Error(t, result.Err(), "%q was taken for a response", raw)
	require.Equal(t, KindInvalid, result.Kind())
	require.False(t, result.NotRun())
	require.False(t, result.Draining())
	_, declared, _ := result.RateLimit()
	require.False(t, declared)
	require.Zero(t, result.Status())
	require.Empty(t, gate.notices)
	require.Zero(t, client.Open(), "the connection was kept")
}

const identified = "X-Echo: id-1\r\nX-Stamp: s\r\n"

// Guards against a response whose status is no status code (RFC 9110, section 15), alone and
// before a valid response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\n" + identified + "Content-Length: 2\r\n\r\nok"
	for dialectName, dialect := range strictDialects {
		for _, status := range []string{"000", "001", "099", "-00", "+00", "600", "999", "-10", "+20", "20", "2000", "0x2", "2 0", "OK", ""} {
			for name, raw := range map[string]string{
				"alone":          "HTTP/1.1 " + status + " X\r\n" + identified + "Content-Length: 2\r\n\r\nok",
				"without fields": "HTTP/1.1 " + status + " X\r\n\r\n",
				"refusal":        "HTTP/1.1 " + status + " X\r\n" + identified + "X-Not-Run: true\r\nX-Leaving: 1\r\nX-Limit: 1\r\nContent-Length: 0\r\n\r\n",
				"before another": "HTTP/1.1 " + status + " X\r\n" + identified + "\r\n" + valid,
				"between others": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + status + " X\r\n\r\n" + valid,
			} {
				t.Run(fmt.Sprintf("%s/%s/%s", dialectName, status, name), func(t *testing.T) {
					t.Parallel()
					requireRefused(t, dialect, raw)
				})
			}
		}
	}
}

// invalidFields are lines, without the end of the last one, that are no fields.
var invalidFields = map[string]string{
	"blank before the colon":        "X-Odd : v",
	"tab before the colon":          "X-Odd\t: v",
	"blank in the name":             "X Odd: v",
	"blank before the name":         " X-Odd: v",
	"tab before the name":           "\tX-Odd: v",
	"no name":                       ": v",
	"only a blank as the name":      " : v",
	"no colon":                      "X-Odd",
	"a blank line":                  " ",
	"NUL in the name":               "X-\x00Odd: v",
	"control byte in the name":      "X-\x01Odd: v",
	"DEL in the name":               "X-\x7fOdd: v",
	"carriage return in the name":   "X-\rOdd: v",
	"line feed before the name":     "\nX-Odd: v",
	"line feed in the name":         "X-Odd: v\nX-: v",
	"line feed after the name":      "X-Odd\n: v",
	"byte above 127 in the name":    "X-\xe4Odd: v",
	"quote in the name":             "X-\"Odd\": v",
	"parenthesis in the name":       "X(Odd): v",
	"slash in the name":             "X/Odd: v",
	"NUL in the value":              "X-Odd: a\x00b",
	"control byte in the value":     "X-Odd: a\x02b",
	"DEL in the value":              "X-Odd: a\x7fb",
	"carriage return in the value":  "X-Odd: a\rb",
	"line feed in the value":        "X-Odd: a\n\tb",
	"line feeds alone":              "X-Odd: v\nX-Even: v",
	"empty line of a line feed":     "X-Odd: v\n",
	"continuation line":             "X-Odd: v\r\n w",
	"required field, blank":         "X-Stamp : t",
	"identifier, blank":             "X-Echo : id-2",
	"length, blank":                 "Content-Length : 1",
	"encoding, blank":               "Transfer-Encoding : chunked",
	"refusal, blank":                "X-Not-Run : true",
	"leaving, blank":                "X-Leaving : 1",
	"several lengths":               "Content-Length: 2\r\nContent-Length: 2",
	"a list of lengths":             "Content-Length: 2, 2",
	"a length with a sign":          "Content-Length: +2",
	"a length and an encoding":      "Content-Length: 2\r\nTransfer-Encoding: chunked",
	"several encodings":             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	"an unknown encoding":           "Transfer-Encoding: gzip",
	"an encoding with a tab inside": "Transfer-Encoding: chun\tked",
}

// bodies are the framings of a body that follows a field.
var bodies = map[string]string{
	"length":       "Content-Length: 2\r\n\r\nok",
	"chunked":      "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"to the close": "\r\nok",
}

// Guards against a head with a line that is no field: as a response, a refusal, an interim
// response or in the trailer section.
func TestInvalidFieldIsNoResponse(t *testing.T) {
	const notices = "X-Leaving: 1\r\nRetry-After: 9\r\nX-Limit: 1\r\n"
	for dialectName, dialect := range strictDialects {
		for name, field := range invalidFields {
			field += "\r\n"
			raws := map[string]string{
				"trailer": "HTTP/1.1 200 OK\r\n" + identified + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + field + "\r\n",
				"interim": "HTTP/1.1 103 Early Hints\r\n" + field + "\r\nHTTP/1.1 200 OK\r\n" + identified + bodies["length"],
				"refusal": "HTTP/1.1 503 Busy\r\n" + identified + notices + field + "X-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
				"421":     "HTTP/1.1 421 Misdirected\r\n" + identified + field + "Content-Length: 0\r\n\r\n",
				"last":    "HTTP/1.1 200 OK\r\n" + identified + "Content-Length: 2\r\n" + field + "\r\nok",
			}
			for framing, body := range bodies {
				raws["success, "+framing] = "HTTP/1.1 200 OK\r\n" + field + identified + body
				raws["identified, "+framing] = "HTTP/1.1 200 OK\r\n" + identified + notices + field + body
			}
			for place, raw := range raws {
				if place == "trailer" && framingFields[name] {
					continue
				}
				t.Run(dialectName+"/"+name+"/"+place, func(t *testing.T) {
					t.Parallel()
					requireRefused(t, dialect, raw)
				})
			}
		}
	}
}

// framingFields are invalid only in a head, because a trailer section has no effect.
var framingFields = map[string]bool{
	"several lengths": true, "a list of lengths": true, "a length with a sign": true, "a length and an encoding": true,
	"several encodings": true, "an unknown encoding": true, "an encoding with a tab inside": true,
}

// Guards against a status line or version that does not exist, and against fields that the
// status or version excludes.
func TestInvalidStartOfResponse(t *testing.T) {
	const rest = "\r\n" + identified + "Content-Length: 2\r\n\r\nok"
	starts := map[string]string{
		"HTTP/0.9": "HTTP/0.9 200 OK" + rest, "HTTP/1.2": "HTTP/1.2 200 OK" + rest, "HTTP/2.0": "HTTP/2.0 200 OK" + rest,
		"HTTP/2": "HTTP/2 200 OK" + rest, "HTTP/11": "HTTP/1.10 200 OK" + rest, "lower case": "http/1.1 200 OK" + rest,
		"two blanks": "HTTP/1.1  200 OK" + rest, "tab": "HTTP/1.1\t200 OK" + rest, "blank first": " HTTP/1.1 200 OK" + rest,
		"empty line first": "\r\nHTTP/1.1 200 OK" + rest, "line feed alone": "HTTP/1.1 200 OK\n" + rest[2:],
		"control byte in the reason": "HTTP/1.1 200 O\x01K" + rest, "carriage return in the reason": "HTTP/1.1 200 O\rK" + rest,
		"no version": "200 OK" + rest, "other protocol": "ICY 200 OK" + rest, "request": "GET / HTTP/1.1" + rest,
		"no blank after the status":  "HTTP/1.1 200OK" + rest,
		"encoding in HTTP/1.0":       "HTTP/1.0 200 OK\r\n" + identified + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"length in an interim":       "HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK" + rest,
		"encoding in an interim":     "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK" + rest,
		"length without content":     "HTTP/1.1 204 No Content\r\n" + identified + "Content-Length: 2\r\n\r\n",
		"encoding without content":   "HTTP/1.1 204 No Content\r\n" + identified + "Transfer-Encoding: chunked\r\n\r\n",
		"line feed after a chunk":    "HTTP/1.1 200 OK\r\n" + identified + "Transfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
		"endless trailer section":    "HTTP/1.1 200 OK\r\n" + identified + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: " + strings.Repeat("t", 1<<20) + "\r\n\r\n",
		"trailer section, truncated": "HTTP/1.1 200 OK\r\n" + identified + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: t\r\n",
	}
	for dialectName, dialect := range strictDialects {
		for name, raw := range starts {
			t.Run(dialectName+"/"+name, func(t *testing.T) {
				t.Parallel()
				requireRefused(t, dialect, raw)
			})
		}
	}
}

// What the grammar allows, although it is rare, is a response.
func TestRareButValidHeads(t *testing.T) {
	const valid = identified + "Content-Length: 2\r\n\r\nok"
	for name, raw := range map[string]string{
		"no reason":               "HTTP/1.1 200 \r\n" + valid,
		"no blank, no reason":     "HTTP/1.1 200\r\n" + valid,
		"reason above 127":        "HTTP/1.1 200 \xc3\xa4\r\n" + valid,
		"HTTP/1.0":                "HTTP/1.0 200 OK\r\n" + valid,
		"every token byte":        "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9: v\r\n" + valid,
		"no blank after colon":    "HTTP/1.1 200 OK\r\nX-Odd:v\r\n" + valid,
		"blanks around the value": "HTTP/1.1 200 OK\r\nX-Odd: \t v \t\r\n" + valid,
		"no value":                "HTTP/1.1 200 OK\r\nX-Odd:\r\n" + valid,
		"bytes above 127":         "HTTP/1.1 200 OK\r\nX-Odd: \xc3\xa4\xff\r\n" + valid,
		"colons in the value":     "HTTP/1.1 200 OK\r\nX-Odd: a: b:c\r\n" + valid,
		"repeated field":          "HTTP/1.1 200 OK\r\nX-Odd: a\r\nX-Odd: b\r\n" + valid,
		"lower case":              "HTTP/1.1 200 OK\r\nx-echo: id-1\r\nx-stamp: s\r\ncontent-length: 2\r\n\r\nok",
		"encoding in other case":  "HTTP/1.1 200 OK\r\n" + identified + "transfer-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"extension of a chunk":    "HTTP/1.1 200 OK\r\n" + identified + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n00\r\n\r\n",
		"trailer section":         "HTTP/1.1 200 OK\r\n" + identified + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nok\r\n0\r\nX-T: t\r\nX-U: \r\n\r\n",
		"several interim ones":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + valid,
		"status 599":              "HTTP/1.1 599 X\r\n" + valid,
		"large head":              "HTTP/1.1 200 OK\r\nX-Odd: " + strings.Repeat("v", 20<<10) + "\r\n" + valid,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, func(b *backend, conn net.Conn, reader *bufio.Reader, _ int) {
				if _, _, ok := b.read(reader); ok {
					_, _ = io.WriteString(conn, raw)
				}
			})
			result := do(t, newTestClient(t, b.address(), WithSingleAttempt()), book("id-1"))
			require.NoError(t, result.Err())
			require.Equal(t, "ok", string(result.Body()))
			require.False(t, result.NotRun())
		})
	}
}
