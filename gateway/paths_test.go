package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
	"github.com/carawayhold/carawayhold/protocol/relay"
)

// hangingDialer never connects.
type hangingDialer struct{}

func (hangingDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// reachableTargets connects to any address.
type reachableTargets struct{}

func (reachableTargets) DialTarget(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// A member notices that it reaches no endpoint directly although its relays connect at once.
func TestLossOfLinksIsNoticedBehindRelays(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	relayListener := listen()
	server := relay.NewServer(reachableTargets{}, zap.NewNop())
	go func() { _ = server.Serve(relayListener) }()
	t.Cleanup(server.Close)
	var endpoints []string
	for range 4 {
		endpoints = append(endpoints, listen().Addr().String())
	}
	changes := make(chan struct{}, 1)
	p := &paths{
		direct: hangingDialer{}, counts: newCounts(metrics.NewSet()), logger: zap.NewNop(), reach: newReachability(),
		relays:  []relayMember{{member: "m", address: relayListener.Addr().String()}},
		changed: func() { changes <- struct{}{} },
		endpoints: func(_ int, skip func(string) bool) []string {
			var list []string
			for _, e := range endpoints {
				if !skip(e) {
					list = append(list, e)
				}
			}
			return list
		},
	}
	for _, e := range endpoints[:2] {
		ctx, cancel := context.WithTimeout(context.Background(), endpointDialTimeout)
		conn, err := p.DialEndpoint(ctx, e)
		cancel()
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	select {
	case <-changes:
	case <-time.After(5 * time.Second):
		t.Fatal("the loss of links was not noticed")
	}
	require.True(t, p.cut())
}

// Endpoints that did not answer a proxy before it noticed the loss of its links are not
// avoided through its relays.
func TestEndpointsAreNotAvoidedThroughRelays(t *testing.T) {
	g := New(Settings{Self: member(0), Incarnation: "i"}, nil, &endpoint.Dialect{}, zap.NewNop())
	g.placer.recordReachability("a", placement.OutcomeTimeout)
	require.Equal(t, []string{"a"}, g.placer.withUnreachable(nil))
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"} {
		g.paths.record(address, context.DeadlineExceeded)
	}
	require.True(t, g.paths.cut())
	require.Eventually(t, func() bool { return len(g.placer.withUnreachable(nil)) == 0 }, unreachableTTL/3, time.Millisecond)
}

// A proxy without a free descriptor has not lost its links to the endpoints.
func TestOwnShortageIsNoLossOfLinks(t *testing.T) {
	g := New(Settings{Self: member(0), Incarnation: "i"}, nil, &endpoint.Dialect{}, zap.NewNop())
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"} {
		g.paths.record(address, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)})
	}
	require.False(t, g.paths.cut())
}

// shortageDialer fails for want of a descriptor.
type shortageDialer struct{}

func (shortageDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
}

// A relay without a free descriptor is no path; it does not say that the endpoint is out of
// reach.
func TestRelayWithoutDescriptorIsNoPath(t *testing.T) {
	g := New(Settings{Self: member(0), Incarnation: "i", Dialer: shortageDialer{}}, nil, &endpoint.Dialect{}, zap.NewNop())
	g.mergeEndpoints([]Endpoint{{ID: "i-1", Service: "lager", Address: "10.0.0.1:80", Zone: "z", Slots: 4, Revision: 5}})
	_, err := relayTargets{gateway: g}.DialTarget(context.Background(), "10.0.0.1:80")
	require.ErrorIs(t, err, relay.ErrNoPath)
}

// With 60 % of the members or a whole zone cut a search finds a relay almost always, with
// 90 % mostly, and it asks few members, in a fleet of any size.
func TestSearchFindsRelays(t *testing.T) {
	const searches = 2000
	for _, size := range []int{3, 32, 443} {
		members := make([]Member, size)
		for i := range members {
			members[i] = Member{Address: fmt.Sprintf("m%03d", i), Zone: fmt.Sprintf("zone-%d", i%3)}
		}
		for name, c := range map[string]struct {
			cut       func(r *rand.Rand, m Member) bool
			minFound  float64
			meanAsked float64
		}{
			"most":        {cut: func(r *rand.Rand, _ Member) bool { return r.Float64() < 0.6 }, minFound: 0.99, meanAsked: 8},
			"zone":        {cut: func(_ *rand.Rand, m Member) bool { return m.Zone == "zone-0" }, minFound: 1, meanAsked: 8},
			"nine in ten": {cut: func(r *rand.Rand, _ Member) bool { return r.Float64() < 0.9 }, minFound: 0.9, meanAsked: 25},
		} {
			t.Run(fmt.Sprintf("%d members, %s", size, name), func(t *testing.T) {
				r := rand.New(rand.NewPCG(uint64(size), 1))
				found, asked, possible := 0, 0, 0
				for range searches {
					up := map[string]bool{}
					for _, m := range members[1:] {
						if !c.cut(r, m) {
							up[m.Address] = true
						}
					}
					if len(up) == 0 {
						continue
					}
					possible++
					for _, wave := range searchWaves(members[0], append([]Member(nil), members...), r.Shuffle) {
						asked += len(wave)
						hit := false
						for _, address := range wave {
							require.NotEqual(t, members[0].Address, address)
							hit = hit || up[address]
						}
						if hit {
							found++
							break
						}
					}
				}
				require.GreaterOrEqual(t, float64(found), c.minFound*float64(possible))
				require.LessOrEqual(t, float64(asked), c.meanAsked*float64(possible))
			})
		}
	}
}
