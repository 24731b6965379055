package tcp

import (
	"fmt"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingListener returns errors before it accepts connections.
type failingListener struct {
	net.Listener
	errors []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errors) > 0 {
		err := f.errors[0]
		f.errors = f.errors[1:]
		return nil, err
	}
	return f.Listener.Accept()
}

// Guards against a listener, and with it a process, that ends for want of a descriptor.
func TestAcceptSurvivesShortage(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	shortage := &net.OpError{Op: "accept", Err: fmt.Errorf("accept4: %w", syscall.EMFILE)}
	failures := 0
	failing := &failingListener{Listener: l, errors: []error{shortage, shortage, syscall.ECONNABORTED}}
	conn, open := Accept(failing, func(error) { failures++ })
	require.True(t, open)
	require.Equal(t, 3, failures)
	require.NoError(t, conn.Close())
	require.NoError(t, l.Close())
	_, open = Accept(failing, func(error) { failures++ })
	require.False(t, open)
	require.Equal(t, 3, failures)
	require.True(t, IsShortage(shortage))
	require.False(t, IsShortage(syscall.ECONNREFUSED))
}
