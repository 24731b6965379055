package platform

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// rawResponse answers each request with the same bytes.
type rawResponse string

func (r rawResponse) RoundTrip(request *http.Request) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(strings.NewReader(string(r))), request)
}

// Guards against a response with an invalid field that confirms a write.
func TestInvalidFieldIsNoConfirmation(t *testing.T) {
	const body = "Content-Length: 14\r\n\r\n{\"revision\":5}"
	for field, valid := range map[string]bool{"X-Odd: v": true, "X-Odd : v": false, "X Odd: v": false} {
		client := NewClient("http://10.0.0.1", WithTransport(rawResponse("HTTP/1.1 200 OK\r\n"+field+"\r\n"+body)))
		_, err := client.Put(context.Background(), "n", 0, nil)
		if valid {
			require.NoError(t, err)
		} else {
			require.ErrorIs(t, err, ErrUnavailable)
		}
	}
}
