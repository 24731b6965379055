package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/protocol/rfc9112"
	"github.com/carawayhold/carawayhold/protocol/tcp"
)

var (
	// ErrNoPath means that the relay cannot or will not forward connections.
	ErrNoPath = eris.New("relay: no path through the relay")
	// ErrTarget means that the relay works but did not reach the target.
	ErrTarget = eris.New("relay: target not reached")
)

// maxResponseBytes bounds the head of the response of a relay.
const maxResponseBytes = 1 << 10

// Dial opens a connection with bounded buffers to the target, an IP address and port, through the
// relay at an address. The context bounds connecting; it has no effect on the connection afterwards. Read
// returns [io.EOF] only if the target ended the stream.
// Errors wrap [ErrNoPath] or [ErrTarget].
func Dial(ctx context.Context, buffers tcp.Buffers, relay, target string) (net.Conn, error) {
	socket, err := buffers.Dialer().DialContext(ctx, "tcp", relay)
	if err != nil {
		return nil, eris.Wrapf(ErrNoPath, "%v", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.SetDeadline(time.Unix(1, 0)) })
	c, err := connect(socket, target)
	if !stop() && err == nil {
		err = eris.Wrapf(ErrNoPath, "%v", ctx.Err())
	}
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	return c, nil
}

func connect(socket net.Conn, target string) (*conn, error) {
	request := "CONNECT " + target + " HTTP/1.1\r\nHost: " + target + "\r\n" + framingField + ": " + framingRecords + "\r\n\r\n"
	if _, err := io.WriteString(socket, request); err != nil {
		return nil, eris.Wrapf(ErrNoPath, "%v", err)
	}
	reader := bufio.NewReaderSize(socket, maxResponseBytes)
	response, err := rfc9112.ReadResponse(reader, http.MethodConnect)
	if err != nil {
		return nil, eris.Wrapf(ErrNoPath, "%v", err)
	}
	switch {
	case response.StatusCode == http.StatusBadGateway:
		return nil, eris.Wrap(ErrTarget, target)
	case response.StatusCode != http.StatusOK:
		return nil, eris.Wrapf(ErrNoPath, "status %d", response.StatusCode)
	case reader.Buffered() > 0:
		return nil, eris.Wrap(ErrNoPath, "bytes behind the response")
	}
	return &conn{
		Conn: socket, reader: reader,
		records:   response.Header.Get(framingField) == framingRecords,
		confirmed: response.Header.Get(endField) == endConfirmed,
	}, nil
}
