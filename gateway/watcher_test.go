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

// Guards against a process that ends when the store answers again: a member that is no hub any more
// may be the one whose calls for the list of members had failed.
func TestMemberOfAnyRoleSurvivesOutageOfEachKind(t *testing.T) {
	for _, hub := range []bool{false, true} {
		for _, kind := range []Kind{KindEndpoints, KindConfiguration, KindMembers} {
			g := New(Settings{Self: member(0), Incarnation: "i"}, &changingStore{}, &endpoint.Dialect{}, zap.NewNop())
			g.fleet.hub = hub
			w := newWatcher(kind, g)
			w.failingSince = bootTime() - instant(2*minOutage)
			w.begin()
			require.Positive(t, w.wait(bootTime()))
			w.handleSuccess(time.Millisecond)
			require.Zero(t, w.failingSince)
			w.confirm(5, bootTime())
			g.countOutdated(KindEndpoints, "r")
			require.Equal(t, kind == KindEndpoints, g.reregisterDeadline.After(time.Now()))
			require.NoError(t, g.transport.Close())
			g.clients.Close()
		}
	}
}

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
