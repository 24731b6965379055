package gateway

import (
	"context"
	"net"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// transport carries messages between members, like [peer.Transport].
type transport interface {
	Send(to, topic string, payload []byte) error
	SendAnnotated(to, topic string, payload, annotation []byte) error
	Request(ctx context.Context, to, incarnation, topic string, payload []byte) ([]byte, error)
	Handle(topic string, handler peer.Handler)
	Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error)
	Serve(l net.Listener) error
	Close() error
}

var _ transport = (*peer.Transport)(nil)
