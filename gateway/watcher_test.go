package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// changingStore returns a changed endpoint from each watch without waiting.
type changingStore struct {
	calls atomic.Int64
}

func (s *changingStore) List(context.Context, Kind) (*Batch, error) { return &Batch{Revision: 1}, nil }

func (s *changingStore) Watch(_ context.Context, _ Kind, since Revision, _ time.Duration) (*Batch, error) {
	n := s.calls.Add(1)
	return &Batch{
		Revision:  since + 1,
		Endpoints: []Endpoint{{ID: fmt.Sprintf("e%d", n), Service: "lager", Slots: 4, Revision: since + 1}},
	}, nil
}

func (s *changingStore) Register(context.Context, Member) error { return nil }
func (s *changingStore) Remove(context.Context, Member) error   { return nil }

// While endpoints change constantly, as during a release, the pause between watches lets one
// call return several changes. The store limits the call rate over all proxies.
func TestWatchRateOfChangingEndpointsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &changingStore{}
		g := New(Settings{Self: member(0), Incarnation: "i"}, store, &endpoint.Dialect{}, zap.NewNop())
		w := newWatcher(KindEndpoints, g)
		began := time.Now()
		for range 10 {
			require.NoError(t, w.poll(t.Context()))
		}
		require.Less(t, float64(store.calls.Load())/time.Since(began).Seconds(), 6.0)
		require.NoError(t, g.transport.Close())
		g.clients.Close()
	})
}
