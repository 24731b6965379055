package operator

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

// Guards against a response with an invalid field that is taken for the state of the fleet.
func TestInvalidFieldIsNoResponse(t *testing.T) {
	for field, valid := range map[string]bool{"X-Odd: v": true, "X-Odd : v": false, "X Odd: v": false} {
		client, err := NewClient([]string{"10.0.0.1"}, WithTransport(rawResponse("HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 2\r\n\r\n{}")))
		require.NoError(t, err)
		_, err = client.Status(context.Background())
		require.Equal(t, valid, err == nil, "%s: %v", field, err)
	}
}
