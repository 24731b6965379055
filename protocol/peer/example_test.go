package peer_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// One proxy sends a request to another. Programs call Serve and Close from a run group.
func ExampleTransport() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	address := listener.Addr().String()
	second := peer.New(address, "run-2", zap.NewNop())
	second.Handle(peer.TopicConfigFetch, func(_ context.Context, r peer.Request) ([]byte, error) {
		return []byte("changes since " + string(r.Payload())), nil
	})
	served := make(chan error, 1)
	go func() { served <- second.Serve(listener) }()

	first := peer.New("127.0.0.1:8082", "run-1", zap.NewNop())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := first.Request(ctx, address, "run-2", peer.TopicConfigFetch, []byte("revision 6"))
	fmt.Println(string(answer), err)

	fmt.Println(first.Close(), second.Close(), <-served)
	// Output:
	// changes since revision 6 <nil>
	// <nil> <nil> <nil>
}
