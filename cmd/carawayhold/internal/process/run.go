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
	// sweepInterval is how often idle connections to endpoints are checked.
	sweepInterval = 10 * time.Second
	// flushTimeout bounds the recording of outcomes at the end of a planned stop.
	flushTimeout      = 5 * time.Second
	serverStopTimeout = time.Second
	serverReadTimeout = 5 * time.Second
)

// Run serves until ctx ends, and then stops without cutting a request.
func (p *Process) Run(ctx context.Context) error {
	l, err := p.listen()
	if err != nil {
		return err
	}
	// Members are stopped in this order. The server towards callers drains
	// first; the record of its last outcomes and the leave message need the
	// peers and the platform; the balancer can ask for the state until the end.
	var group run.Group
	group.Add(p.signalMember(ctx))
	group.Add(p.callerMember(l.caller))
	group.Add(p.claimMember())
	group.Add(serveHTTP("operator", newServer(p.operator.Handler()), l.operator))
	group.Add(p.controlMember())
	group.Add(p.peerMember(l.peer))
	group.Add(p.sweepMember())
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

// signalMember ends the group when ctx ends.
func (p *Process) signalMember(ctx context.Context) (func() error, func(error)) {
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

func (p *Process) callerMember(listener net.Listener) (func() error, func(error)) {
	server := caller.NewServer(p.handler, p.logger)
	execute := func() error { return server.Serve(listener) }
	return execute, func(error) {
		lagEnd := time.Now().Add(p.settings.Shutdown.BalancerLag())
		p.logger.Info("caller: stopping", zap.Time("acceptingUntil", lagEnd))
		ctx, cancel := context.WithDeadline(context.Background(), lagEnd.Add(p.settings.Shutdown.Finish()))
		defer cancel()
		if err := server.Shutdown(ctx, lagEnd); err != nil {
			p.logger.Error("caller: stop was not graceful", zap.Error(err))
			return
		}
		p.logger.Info("caller: stopped")
	}
}

// claimMember runs the at-most-once coordinator. It ends when the outcomes in
// memory are recorded.
func (p *Process) claimMember() (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute := func() error { return p.claims.Run(ctx) }
	return execute, func(error) {
		flush, stop := context.WithTimeout(context.Background(), flushTimeout)
		defer stop()
		if err := p.claims.Flush(flush); err != nil {
			p.logger.Error("caller: outcomes are not recorded", zap.Int("count", p.claims.Unsettled()), zap.Error(err))
		}
		cancel()
	}
}

func (p *Process) controlMember() (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute := func() error { return p.control.Run(ctx) }
	return execute, func(error) {
		p.control.Leave()
		cancel()
	}
}

func (p *Process) peerMember(listener net.Listener) (func() error, func(error)) {
	execute := func() error { return p.transport.Serve(listener) }
	return execute, func(error) { _ = p.transport.Close() }
}

func (p *Process) sweepMember() (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute := func() error {
		ticker := time.NewTicker(sweepInterval)
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
