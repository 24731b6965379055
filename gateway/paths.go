package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
)

// directDialTimeout bounds a direct connection. The kernel retransmits a lost packet after
// 1 s only, so another endpoint is faster.
const directDialTimeout = 150 * time.Millisecond

// paths opens connections to endpoints. It is safe for concurrent use.
type paths struct {
	direct Dialer
	logger *zap.Logger

	mu    sync.Mutex
	reach *reachability
}

// DialEndpoint implements endpoint.Dialer.
func (p *paths) DialEndpoint(ctx context.Context, address string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, directDialTimeout)
	defer cancel()
	conn, err := p.direct.DialContext(limited, "tcp", address)
	if err == nil || ctx.Err() == nil {
		p.record(address, err)
	}
	return conn, err
}

// record records the result of a direct connection.
func (p *paths) record(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		if p.reach.connected(bootTime()) {
			p.logger.Info("path: endpoints can be reached directly again", zap.String("endpoint_address", address))
		}
		return
	}
	if p.reach.failed(bootTime(), address) {
		p.logger.Warn("path: no endpoint can be reached directly", zap.String("endpoint_address", address), zap.String("error", err.Error()))
	}
}

// cut reports whether this member reaches no endpoint directly.
func (p *paths) cut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.cut
}
