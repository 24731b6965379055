package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/protocol/caller"
)

const (
	// idleCheckInterval is the interval between closing idle endpoint connections.
	idleCheckInterval = 10 * time.Second
	// flushTimeout bounds the recording of outcomes during a graceful shutdown.
	flushTimeout      = 5 * time.Second
	serverStopTimeout = time.Second
	serverReadTimeout = 5 * time.Second
)

// Run serves until ctx is cancelled, and then shuts down gracefully: it completes
// the requests in flight within the limits of the shutdown settings.
func (p *Process) Run(ctx context.Context) error {
	l, err := p.listen()
	if err != nil {
		return err
	}
	// Actors are interrupted in this order. The caller server drains first.
	// Recording its last outcomes and sending the leave message need the peer
	// transport and the platform. The admin server, and with it /ready for the load
	// balancer, stops last.
	var group run.Group
	group.Add(p.signalActor(ctx))
	group.Add(p.callerActor(l.caller))
	group.Add(p.claimActor())
	group.Add(serveHTTP("operator", newServer(p.operator.Handler()), l.operator))
	group.Add(p.controlActor())
	group.Add(p.peerActor(l.peer))
	group.Add(p.idleConnectionsActor())
	group.Add(serveHTTP("admin", newServer(p.adminHandler()), l.admin))
	p.logger.Info("caller: listening", zap.String("proxy", p.settings.Name), zap.String("region", p.settings.Region),
		zap.String("zone", p.settings.Zone), zap.Stringer("address", l.caller.Addr()), zap.Stringer("admin", l.admin.Addr()))
	err = group.Run()
	p.clients.Close()
	return err
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: serverReadTimeout}
}

// signalActor stops the group when ctx is cancelled, and makes /ready report that
// the proxy is stopping.
func (p *Process) signalActor(ctx context.Context) (func() error, func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	execute := func() error {
		<-ctx.Done()
		return nil
	}
	return execute, func(error) {
		p.readiness.stopping.Store(true)
		cancel()
	}
}

func (p *Process) callerActor(listener net.Listener) (func() error, func(error)) {
	server := caller.NewServer(p.handler, p.logger)
	execute := func() error { return server.Serve(listener) }
	return execute, func(error) {
		lagEnd := time.Now().Add(p.settings.Shutdown.BalancerLag())
		p.logger.Info("caller: stopping", zap.Time("acceptingUntil", lagEnd))
		ctx, cancel := context.WithDeadline(context.Background(), lagEnd.Add(p.settings.Shutdown.DrainTimeout()))
		defer cancel()
		if err := server.Shutdown(ctx, lagEnd); err != nil {
			p.logger.Error("caller: graceful shutdown failed", zap.Error(err))
			return
		}
		p.logger.Info("caller: stopped")
	}
}

// claimActor runs the at-most-once coordinator. Before it stops, it waits up to
// flushTimeout until the outcomes in memory are recorded.
func (p *Process) claimActor() (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute := func() error { return p.claims.Run(ctx) }
	return execute, func(error) {
		flush, stop := context.WithTimeout(context.Background(), flushTimeout)
		defer stop()
		if err := p.claims.Flush(flush); err != nil {
			p.logger.Error("caller: outcomes not recorded before shutdown", zap.Int("count", p.claims.Unsettled()), zap.Error(err))
		}
		cancel()
	}
}

func (p *Process) controlActor() (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute := func() error { return p.control.Run(ctx) }
	return execute, func(error) {
		p.control.Leave()
		cancel()
	}
}

func (p *Process) peerActor(listener net.Listener) (func() error, func(error)) {
	execute := func() error { return p.transport.Serve(listener) }
	return execute, func(error) { _ = p.transport.Close() }
}

func (p *Process) idleConnectionsActor() (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute := func() error {
		ticker := time.NewTicker(idleCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case now := <-ticker.C:
				p.clients.CloseIdle(now)
			}
		}
	}
	return execute, func(error) { cancel() }
}
