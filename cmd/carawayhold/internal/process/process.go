// Package process assembles the components of a proxy, and starts and stops them.
package process

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/claim"
	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/control"
	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/datapath"
	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/settings"
	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/outlier"
	"github.com/carawayhold/carawayhold/protocol/caller"
	"github.com/carawayhold/carawayhold/protocol/endpoint"
	"github.com/carawayhold/carawayhold/protocol/operator"
	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/protocol/platform"
	"github.com/carawayhold/carawayhold/protocol/tcp"
)

// responseBodyMemory bounds the bytes of buffered response bodies, not counting the first 64 KiB of
// each.
const responseBodyMemory = 64 << 20

// listenerBuffers bounds what the kernel holds of each accepted connection.
var listenerBuffers = tcp.NewBuffers(64<<10, 64<<10)

// Process is a proxy, assembled from its settings.
type Process struct {
	settings  settings.Settings
	logger    *zap.Logger
	readiness *readiness
	clients   *endpoint.Set
	handler   *caller.Handler
	transport *peer.Transport
	control   *control.Control
	claims    *claim.Coordinator
	operator  *operator.Server
	metrics   *metrics.Set
}

// New returns a proxy. It opens no socket before Run.
func New(s settings.Settings, logger *zap.Logger) *Process {
	p := &Process{settings: s, logger: logger, clients: endpoint.NewSet(endpoint.WithMemoryBudget(endpoint.NewMemoryBudget(responseBodyMemory))), metrics: metrics.NewSet()}
	store := platform.NewClient(s.Platform.URL)
	self := membership.NewMember(s.Name, s.Peer.Listen, s.Zone, membership.NewIncarnation(time.Now(), rand.Uint64()))
	p.transport = peer.New(s.Peer.Listen, self.Incarnation().String(), logger, peer.WithMetrics(p.metrics))
	recorder := outlier.NewRecorder(self.Incarnation().String(), s.Zone)
	evidence := datapath.NewEvidenceRecorder(recorder, func(address string, generation int64, draining bool) {
		p.control.ObserveResponse(address, generation, draining)
	})
	path := datapath.New(s.Name, s.Zone, p.clients, evidence, logger)
	p.control = control.New(control.Dependencies{
		Self: self, Seeds: s.Peer.Seeds, Platform: store, Transport: p.transport,
		Datapath: path, Recorder: recorder, Logger: logger, Metrics: p.metrics,
	})
	p.claims = claim.New(store, p.control.Peers(),
		claim.WithLogger(logger), claim.WithInvariants(once.NewInvariants(p.onInvariantViolation)))
	p.handler = caller.NewHandler(datapath.NewCoordinator(p.claims), evidence, logger, caller.WithReadinessCheck(p.control.Readiness))
	path.Attach(p.handler)
	p.operator = operator.NewServer(store, p.control, p.control, operator.SystemClock{},
		operator.WithLogger(logger), operator.WithMetrics(p.metrics), operator.WithAcceptedHook(p.control.ConfigurationAccepted))
	path.OnLiveProxies(func(live int) {
		p.claims.SetWriteRate(float64(s.Platform.WritesPerSecond) / float64(live))
	})
	p.readiness = &readiness{ready: p.control.Readiness}
	p.serveClaims()
	return p
}

// serveClaims registers the handler for the at-most-once requests of other proxies.
func (p *Process) serveClaims() {
	for _, topic := range []string{peer.TopicOnceClaim, peer.TopicOnceSettle, peer.TopicOnceQuery} {
		p.transport.Handle(topic, func(ctx context.Context, r peer.Request) ([]byte, error) {
			return p.claims.Serve(ctx, r.Topic(), r.Payload())
		})
	}
}

// onInvariantViolation counts and logs a violated invariant of the at-most-once
// records.
func (p *Process) onInvariantViolation(name, detail string) {
	p.metrics.GetOrCreateCounter(`carawayhold_invariant_violations_total{invariant="` + name + `"}`).Inc()
	p.logger.Error("caller: invariant violated", zap.String("invariant", name), zap.String("detail", detail))
}

// listeners holds the listening sockets of a proxy.
type listeners struct {
	caller, operator, peer, admin net.Listener
}

// listen opens all sockets, or none if it returns an error.
func (p *Process) listen() (listeners, error) {
	var l listeners
	var open []net.Listener
	for _, v := range []struct {
		target  *net.Listener
		address string
	}{
		{&l.caller, p.settings.Caller.Listen},
		{&l.operator, p.settings.Operator.Listen},
		{&l.peer, p.settings.Peer.Listen},
		{&l.admin, p.settings.Admin.Listen},
	} {
		listener, err := listenerBuffers.Listen(v.address)
		if err != nil {
			for _, o := range open {
				_ = o.Close()
			}
			return l, eris.Wrapf(err, "cannot listen on %s", v.address)
		}
		*v.target = listener
		open = append(open, listener)
	}
	return l, nil
}

// serveHTTP returns the functions that run and stop a server whose shutdown may
// interrupt requests after serverStopTimeout.
func serveHTTP(name string, server *http.Server, listener net.Listener) (func() error, func(error)) {
	execute := func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrapf(err, "%s: cannot serve", name)
	}
	return execute, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), serverStopTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}
}
