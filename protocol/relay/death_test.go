package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/protocol/tcp"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// relayDialer opens connections to endpoints through a relay.
type relayDialer string

func (d relayDialer) DialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	return Dial(ctx, tcp.Buffers{}, string(d), address)
}

// Guards against a response that looks whole, or a request that counts as not run, when the
// relay that carries them dies: at every byte of the response, with each framing of its body.
func TestResponseThroughDyingRelay(t *testing.T) {
	dialect := endpoint.NewDialect("X-Id", "X-Deadline", "X-Not-Run", endpoint.WithCloseDelimited(), endpoint.WithNonRepeatableReuse())
	rules := endpoint.NewRules("X-Id", 1<<20, false, 0).WithDialect(dialect)
	const head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n"
	responses := map[string]struct {
		raw        string
		untilClose bool
	}{
		"length":      {raw: head + "Content-Length: 4\r\n\r\nbody"},
		"chunked":     {raw: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"until close": {raw: head + "\r\nbody", untilClose: true},
	}
	for name, c := range responses {
		for n := 0; n <= len(c.raw); n++ {
			t.Run(fmt.Sprintf("%s/%d", name, n), func(t *testing.T) {
				s, relay := startRelay(t, targets{})
				address, accepted := startEndpoint(t)
				ended := make(chan bool)
				go func() {
					defer close(ended)
					conn := <-accepted
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = io.WriteString(conn, c.raw[:n])
					time.Sleep(time.Millisecond) // for the relay to forward the bytes
					closeAsKernel(t, s)
				}()
				client := endpoint.NewClient(address, endpoint.WithDialer(relayDialer(relay)), endpoint.WithSingleAttempt())
				defer client.Close()
				deadline := time.Now().Add(waitTimeout)
				result := client.Do(context.Background(), deadline,
					endpoint.NewRequest(rules, http.MethodPost, "/", "h", "id-1", deadline, http.Header{}, nil))
				defer result.Release()
				<-ended
				require.True(t, result.Wrote())
				require.False(t, result.NotRun())
				if result.Err() == nil {
					require.Equal(t, "body", string(result.Body()))
					require.False(t, c.untilClose, "the endpoint has not ended the body")
				}
			})
		}
	}
}

// A relay that dies before the request is written: it counts as not run only if no byte of it
// was written.
func TestRequestThroughDeadRelay(t *testing.T) {
	dialect := endpoint.NewDialect("X-Id", "X-Deadline", "X-Not-Run", endpoint.WithNonRepeatableReuse())
	rules := endpoint.NewRules("X-Id", 1<<20, false, 0).WithDialect(dialect)
	s, relay := startRelay(t, targets{})
	address, accepted := startEndpoint(t)
	client := endpoint.NewClient(address, endpoint.WithDialer(dialerFunc(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := Dial(ctx, tcp.Buffers{}, relay, address)
		closeAsKernel(t, s)
		time.Sleep(5 * time.Millisecond)
		return c, err
	})), endpoint.WithSingleAttempt())
	defer client.Close()
	deadline := time.Now().Add(waitTimeout)
	result := client.Do(context.Background(), deadline,
		endpoint.NewRequest(rules, http.MethodPost, "/", "h", "id-1", deadline, http.Header{}, nil))
	require.Error(t, result.Err())
	require.Equal(t, !result.Wrote(), result.NotRun())
	(<-accepted).Close()
}

type dialerFunc func(ctx context.Context, address string) (net.Conn, error)

func (f dialerFunc) DialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	return f(ctx, address)
}
