package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/relay"
	"github.com/carawayhold/carawayhold/protocol/tcp"
)

const (
	// directPatience is the time without a direct connection after which a relay is tried
	// as well. Connecting takes a few milliseconds, also between zones.
	directPatience = 40 * time.Millisecond
	// directDialTimeout bounds a direct connection. The kernel retransmits a lost packet
	// after 1 s only, so another endpoint is faster.
	directDialTimeout = 150 * time.Millisecond
	// relayedDialTimeout bounds a connection through one relay, which includes
	// targetDialTimeout for the connection of the relay.
	relayedDialTimeout = 150 * time.Millisecond
	targetDialTimeout  = 100 * time.Millisecond
	// endpointDialTimeout bounds all attempts to connect to an endpoint.
	endpointDialTimeout = 300 * time.Millisecond
	// maxRelaysPerDial is the number of relays that are tried for a connection.
	maxRelaysPerDial = 2
)

// paths opens connections to endpoints: directly, or through another member if this one
// does not reach them. It is safe for concurrent use.
type paths struct {
	direct    Dialer
	buffers   tcp.Buffers // of connections through relays
	fleet     *fleet
	transport transport
	counts    *counts
	logger    *zap.Logger
	// endpoints returns the addresses of some endpoints at random, except those to skip.
	endpoints func(count int, skip func(address string) bool) []string
	// changed is called when this member loses or regains its direct paths.
	changed func()

	mu           sync.Mutex
	reach        *reachability
	verifying    bool
	relays       []relayMember // the preferred one first
	searching    chan struct{} // closed when the search in progress ends; nil without one
	noRelayUntil instant       // no search before
	searchPause  time.Duration // after the last search without an offer, or 0
}

// DialEndpoint implements endpoint.Dialer.
func (p *paths) DialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	if p.cut() {
		conn, err := p.dialRelayed(ctx, address)
		if err == nil || !errors.Is(err, relay.ErrNoPath) {
			return conn, err
		}
		return p.dialDirect(ctx, address, directDialTimeout)
	}
	conn, err := p.dialDirect(ctx, address, directPatience)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	if !isTimeout(err) {
		p.record(address, err)
	}
	return p.race(ctx, address, err)
}

type dialResult struct {
	conn net.Conn
	err  error
}

// race connects directly once more and through a relay, and returns the first connection.
// The direct attempt goes on after the context and the relayed one have ended, because it
// shows whether there is a direct path.
func (p *paths) race(ctx context.Context, address string, firstErr error) (net.Conn, error) {
	results := make(chan dialResult, 2)
	go func() {
		conn, err := p.dialDirect(context.WithoutCancel(ctx), address, directDialTimeout-directPatience)
		if err != nil {
			p.record(address, err)
		}
		results <- dialResult{conn, err}
	}()
	go func() {
		conn, err := p.dialRelayed(ctx, address)
		results <- dialResult{conn, err}
	}()
	first := <-results
	if first.err == nil {
		go func() { closeConn((<-results).conn) }()
		return first.conn, nil
	}
	if second := <-results; second.err == nil {
		return second.conn, nil
	}
	return nil, firstErr
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func closeConn(c net.Conn) {
	if c != nil {
		_ = c.Close()
	}
}

// dialDirect connects directly and records a success.
func (p *paths) dialDirect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.direct.DialContext(limited, "tcp", address)
	if err == nil {
		p.record(address, nil)
	}
	return conn, err
}

// record records the result of a direct connection. A shortage of this process says nothing
// about the path.
func (p *paths) record(address string, err error) {
	if tcp.IsShortage(err) {
		return
	}
	p.mu.Lock()
	now := bootTime()
	var changed bool
	if err == nil {
		changed = p.reach.connected(now)
	} else {
		changed = p.reach.failed(now, address)
	}
	verify := p.reach.doubtful() && !p.verifying
	if verify {
		p.verifying = true
	}
	p.mu.Unlock()
	if verify {
		go p.verify()
	}
	if changed {
		p.announce(address, err)
	}
}

// announce tells that this member lost or regained its direct paths.
func (p *paths) announce(address string, err error) {
	if err != nil {
		p.logger.Warn("path: no endpoint can be reached directly, using relays", zap.String("endpoint_address", address), zap.String("error", err.Error()))
	} else {
		p.logger.Info("path: endpoints can be reached directly again", zap.String("endpoint_address", address))
	}
	p.changed()
}

// errNoOtherEndpoint means that all endpoints were tried.
var errNoOtherEndpoint = eris.New("gateway: no other endpoint to try")

// verify tries other endpoints than those that could not be reached.
func (p *paths) verify() {
	p.mu.Lock()
	addresses := p.endpoints(verifiedEndpoints, p.reach.unreachable)
	declared := len(addresses) == 0 && p.reach.declareCut(bootTime())
	p.mu.Unlock()
	if declared {
		p.announce("", errNoOtherEndpoint)
	}
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { p.testDirect(context.Background(), address) })
	}
	group.Wait()
	p.mu.Lock()
	p.verifying = false
	p.mu.Unlock()
}

// testDirect opens and closes a direct connection and reports whether that worked.
func (p *paths) testDirect(ctx context.Context, address string) bool {
	conn, err := p.dialDirect(ctx, address, directDialTimeout)
	if err == nil {
		_ = conn.Close()
		return true
	}
	if ctx.Err() == nil {
		p.record(address, err)
	}
	return false
}

// cut reports whether this member reaches no endpoint directly.
func (p *paths) cut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.cut
}

// cutSince reports whether this member reached no endpoint directly at any time since then.
// Attempts that failed in that time say nothing about their endpoints.
func (p *paths) cutSince(then time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.cutSince(bootTime() - instant(time.Since(then)))
}

// blocked reports whether this member reaches no endpoint at all: not directly, and the last
// search found no relay.
func (p *paths) blocked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.cut && len(p.relays) == 0 && bootTime() < p.noRelayUntil
}

// dialRelayed connects to an endpoint through a relay. The error wraps [relay.ErrNoPath] if
// there is none.
func (p *paths) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	err := relay.ErrNoPath
	for range maxRelaysPerDial {
		through, found := p.relay(ctx)
		if !found {
			return nil, err
		}
		limited, cancel := context.WithTimeout(ctx, relayedDialTimeout)
		var conn net.Conn
		conn, err = relay.Dial(limited, p.buffers, through.address, address)
		cancel()
		p.counts.relayed(relayResult(err))
		if err == nil {
			return conn, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		p.logger.Info("path: relayed connection failed", zap.String("relay", through.member), zap.String("endpoint_address", address),
			zap.String("error", err.Error()))
		p.rank(through, !errors.Is(err, relay.ErrNoPath))
	}
	return nil, err
}

func relayResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, relay.ErrTarget):
		return "endpoint_unreachable"
	}
	return "no_path"
}

// maintain checks, while this member is cut, whether it reaches an endpoint again, and
// whether its relays still forward. A relay that stops says so before it ends.
func (p *paths) maintain(ctx context.Context) {
	if !p.cut() {
		return
	}
	for _, address := range p.endpoints(1, func(string) bool { return false }) {
		if p.testDirect(ctx, address) {
			p.mu.Lock()
			p.relays = nil
			p.mu.Unlock()
			return
		}
	}
	p.mu.Lock()
	relays := slices.Clone(p.relays)
	p.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	for _, r := range relays {
		if _, ok := p.askOffer(limited, r.member); !ok && ctx.Err() == nil {
			p.logger.Info("path: relay does not forward any more", zap.String("relay", r.member))
			p.rank(r, false)
			p.changed()
		}
	}
}
