package peer

import (
	"context"
	"sync"

	"github.com/ThreeDotsLabs/watermill/message"
)

// subscription is the output channel of one Subscribe call. When the channel is full, the
// oldest message is dropped.
type subscription struct {
	context context.Context
	mutex   sync.Mutex
	closed  bool
	output  chan *message.Message
	dropped func()
}

func (s *subscription) deliver(m *message.Message) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return
	}
	m.SetContext(s.context)
	for {
		select {
		case s.output <- m:
			return
		default:
		}
		select {
		case <-s.output:
			s.dropped()
		default:
		}
	}
}

func (s *subscription) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		s.closed = true
		close(s.output)
	}
}
