// Package process starts and stops the parts of a proxy together.
package process

import (
	"context"
	"net"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/datapath"
	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/settings"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

// sweepInterval is how often idle connections to endpoints are checked.
const sweepInterval = 10 * time.Second

// Process is one proxy.
type Process struct {
	settings  settings.Settings
	logger    *zap.Logger
	readiness *readiness
	handler   *caller.Handler
	clients   *endpoint.Set
	datapath  *datapath.Datapath
	source    datapath.Source
}

// New returns a proxy that does not listen yet.
func New(s settings.Settings, logger *zap.Logger) *Process {
	p := &Process{settings: s, logger: logger, clients: endpoint.NewSet()}
	p.handler = caller.NewHandler(logger)
	p.datapath = datapath.New(p.handler, p.clients, logger)
	p.source = datapath.NewPlatformSource(platform.NewClient(s.Platform.URL), logger)
	p.readiness = &readiness{ready: func() bool { return p.handler.Table() != nil }}
	return p
}

// Run serves until ctx ends, and then stops without cutting a request.
func (p *Process) Run(ctx context.Context) error {
	callers, err := listen(p.settings.Caller.Listen)
	if err != nil {
		return err
	}
	admins, err := listen(p.settings.Admin.Listen)
	if err != nil {
		_ = callers.Close()
		return err
	}
	// Members are stopped in this order: the server towards callers drains
	// first, and the balancer can ask for the state until the end.
	var group run.Group
	group.Add(p.signalMember(ctx))
	group.Add(p.callerMember(callers))
	group.Add(p.sourceMember())
	group.Add(p.sweepMember())
	a := newAdmin(admins, p.readiness)
	group.Add(a.run, a.stop)
	p.logger.Info("caller: listening", zap.Stringer("address", callers.Addr()), zap.Stringer("admin", admins.Addr()))
	err = group.Run()
	p.clients.Close()
	return err
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, eris.Wrapf(err, "cannot listen on %s", address)
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
		p.logger.Info("caller: stopping", zap.Time("accepting until", lagEnd))
		ctx, cancel := context.WithDeadline(context.Background(), lagEnd.Add(p.settings.Shutdown.Finish()))
		defer cancel()
		if err := server.Shutdown(ctx, lagEnd); err != nil {
			p.logger.Error("caller: stop was not graceful", zap.Error(err))
			return
		}
		p.logger.Info("caller: stopped")
	}
}

func (p *Process) sourceMember() (func() error, func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute := func() error { return p.source.Run(ctx, p.datapath.Apply) }
	return execute, func(error) { cancel() }
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
				p.clients.Sweep(now)
			}
		}
	}
	return execute, func(error) { cancel() }
}
