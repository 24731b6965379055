package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/endpoint"
)

// A proxy must not report ready before the placer has the endpoints, or it would refuse
// requests that arrive at that moment.
func TestReadyOnlyAfterPlacerHasEndpoints(t *testing.T) {
	g := New(Settings{Self: member(0), Incarnation: "i", Budget: RetryBudget{Ratio: 0.2, Burst: 10, Window: time.Second}},
		nil, endpoint.NewDialect("Id", "Deadline", "Not-Run"), zap.NewNop())
	g.applyConfiguration(&Configuration{Version: 1}, "test")
	batch := &Batch{Revision: 1}
	const count = 20_000
	for i := range count {
		batch.Endpoints = append(batch.Endpoints, readyEndpoint(fmt.Sprintf("e%05d", i), 1))
	}
	found := make(chan int, 1)
	go func() {
		for !g.Ready() {
		}
		g.placer.mu.Lock()
		defer g.placer.mu.Unlock()
		found <- g.placer.service("lager").scheduler.Stats(time.Now()).Endpoints
	}()
	g.applyEndpoints(batch, true)
	require.Equal(t, count, <-found)
}
