package tcp

import (
	"context"
	"net"
	"syscall"
)

// Buffers bounds what the kernel holds of one connection in each direction. Without a bound the
// kernel lets a buffer grow to megabytes while one side sends faster than the other reads.
type Buffers struct {
	receive int
	send    int
}

// NewBuffers returns bounds in bytes. With 0 the kernel sets the size of that direction.
func NewBuffers(receive, send int) Buffers { return Buffers{receive: receive, send: send} }

// Control sets the bounds on a socket before it connects or listens. It is for the Control
// functions of [net.Dialer] and [net.ListenConfig]; accepted connections inherit the bounds. A
// kernel that refuses them leaves a connection that works.
func (b Buffers) Control(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(descriptor uintptr) {
		if b.receive > 0 {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, b.receive)
		}
		if b.send > 0 {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, b.send)
		}
	})
}

// Dialer returns a dialer of connections with the bounds.
func (b Buffers) Dialer() *net.Dialer { return &net.Dialer{Control: b.Control} }

// Listen opens a listener whose connections have the bounds.
func (b Buffers) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: b.Control}
	return config.Listen(context.Background(), "tcp", address)
}
