package relay

import (
	"net"
	"sync"
	"time"
)

// closeTimeout is the time in which the proxy closes a connection that the endpoint has
// closed. Proxies close idle connections after 8 s.
const closeTimeout = 10 * time.Second

// session is one forwarded connection.
type session struct {
	mu    sync.Mutex
	conns []net.Conn
	ended bool
}

func (v *session) set(conns ...net.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conns = conns
	if v.ended {
		v.resetConns()
	}
}

// finish forwards the end of the stream from the endpoint: a reset if the copy failed, so
// that the response does not look complete. Otherwise only that direction ends, because a
// close with unread bytes would reset the connection.
func (v *session) finish(downstream net.Conn, err error) {
	t, ok := downstream.(*net.TCPConn)
	if err != nil || !ok || t.CloseWrite() != nil {
		v.reset()
		return
	}
	_ = t.SetReadDeadline(time.Now().Add(closeTimeout))
}

// reset ends both connections with a reset.
func (v *session) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended = true
	v.resetConns()
}

func (v *session) resetConns() {
	for _, c := range v.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}
