package endpoint

import (
	"testing"
)

// Guards against a field that identifies a response, or states what became of the request, and
// occurs more than once: readers of the first and of the last one disagree.
func TestRepeatedSingleFieldIsNoResponse(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\nok"
	cases := map[string]string{
		"other identifier":    "HTTP/1.1 200 OK\r\n" + identified + "X-Echo: id-2\r\n" + length,
		"other one first":     "HTTP/1.1 200 OK\r\nX-Echo: id-2\r\n" + identified + length,
		"same identifier":     "HTTP/1.1 200 OK\r\n" + identified + "X-Echo: id-1\r\n" + length,
		"empty identifier":    "HTTP/1.1 200 OK\r\nX-Echo:\r\n" + identified + length,
		"list of identifiers": "HTTP/1.1 200 OK\r\nX-Echo: id-1, id-2\r\nX-Stamp: s\r\n" + length,
		"refusal of another":  "HTTP/1.1 503 Busy\r\n" + identified + "X-Echo: id-2\r\nX-Not-Run: true\r\n" + length,
		"421 of another":      "HTTP/1.1 421 Misdirected\r\n" + identified + "X-Echo: id-2\r\n" + length,
		"refusal twice":       "HTTP/1.1 503 Busy\r\n" + identified + "X-Not-Run: true\r\nX-Not-Run: false\r\n" + length,
	}
	for dialectName, dialect := range strictDialects {
		for name, raw := range cases {
			t.Run(dialectName+"/"+name, func(t *testing.T) { requireRefused(t, dialect, raw) })
		}
	}
	t.Run("deployment/required field", func(t *testing.T) {
		requireRefused(t, strictDialects["deployment"], "HTTP/1.1 200 OK\r\n"+identified+"X-Stamp: t\r\n"+length)
	})
}

// Guards against a success that reaches the caller without the required field, because the endpoint
// names it as a field of the connection.
func TestRequiredFieldOfConnectionIsNoResponse(t *testing.T) {
	for _, field := range []string{"Connection: X-Stamp", "Connection: keep-alive , x-stamp", "Connection: keep-alive\r\nConnection: x-other,X-STAMP"} {
		t.Run(field, func(t *testing.T) {
			requireRefused(t, strictDialects["deployment"], "HTTP/1.1 200 OK\r\n"+identified+field+"\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}
