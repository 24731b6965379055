package gateway

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/protocol/relay"
	"github.com/carawayhold/carawayhold/protocol/tcp"
)

// relayTargets forwards connections of other members to endpoints.
type relayTargets struct {
	gateway *Gateway
}

var _ relay.Targets = relayTargets{}

// DialTarget implements relay.Targets. It only connects to endpoints that are registered.
func (t relayTargets) DialTarget(ctx context.Context, address string) (net.Conn, error) {
	g := t.gateway
	if !g.isEndpoint(address) {
		return nil, eris.Wrapf(relay.ErrRefused, "%s is no endpoint", address)
	}
	conn, err := g.paths.dialDirect(ctx, address, targetDialTimeout)
	if err == nil {
		return conn, nil
	}
	if ctx.Err() == nil {
		g.paths.record(address, err)
	}
	if g.paths.cut() || tcp.IsShortage(err) {
		return nil, eris.Wrapf(relay.ErrNoPath, "%v", err)
	}
	return nil, err
}

func (g *Gateway) isEndpoint(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.registry.entries {
		if e.Address == address && !e.Deregistered {
			return true
		}
	}
	return false
}

// handleRelayOffer answers whether this member forwards connections to endpoints.
func (g *Gateway) handleRelayOffer(context.Context, peer.Request) ([]byte, error) {
	offer := &relayOffer{}
	if g.Ready() && !g.paths.cut() {
		offer.Address = g.settings.RelayAddress
	}
	return encode(offer), nil
}

// pathsChanged gives up what belongs to the former path to the endpoints.
func (g *Gateway) pathsChanged() {
	g.clients.CloseAllIdle()
	g.placer.forgetUnreachable()
}

// maintainPaths checks the paths to the endpoints when the heartbeat asks for it.
func (g *Gateway) maintainPaths(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.checkPaths:
		}
		g.paths.maintain(ctx)
	}
}

// someEndpoints returns the addresses of up to count endpoints that may get requests, except
// those to skip.
func (g *Gateway) someEndpoints(count int, skip func(address string) bool) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	// The order of a map is random.
	for _, e := range g.registry.entries {
		if len(list) == count {
			break
		}
		if !e.Deregistered && !e.Draining && !skip(e.Address) {
			list = append(list, e.Address)
		}
	}
	return list
}
