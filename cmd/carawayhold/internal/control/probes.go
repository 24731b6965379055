package control

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
)

const (
	probeTimeout = time.Second
	// maxProbesInFlight bounds the probes that this proxy has in flight.
	maxProbesInFlight = 4
)

// probeLoop sends the probes of ejected endpoints that are due from this
// proxy.
func (c *Control) probeLoop(ctx context.Context) error {
	slots := make(chan struct{}, maxProbesInFlight)
	return every(ctx, outlier.ProbeInterval, nil, func(ctx context.Context) {
		now := time.Now()
		probers := c.probers()
		for _, service := range c.ledgers.withEntries() {
			for _, name := range c.ejected(service) {
				if outlier.ProbeDue(c.self.Name(), probers, service, name, now) {
					c.startProbe(ctx, slots, service, name)
				}
			}
		}
	})
}

// startProbe sends a probe in the background, or none if all slots are taken.
func (c *Control) startProbe(ctx context.Context, slots chan struct{}, service, endpoint string) {
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-slots }()
		c.sendProbe(ctx, service, endpoint)
	}()
}

func (c *Control) sendProbe(ctx context.Context, service, endpoint string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if result, sent := c.datapath.Probe(ctx, service, endpoint); sent {
		c.recorder.RecordProbe(service, endpoint, result.Generation, result.OK)
	}
}

func (c *Control) probers() []outlier.Prober {
	var probers []outlier.Prober
	for _, m := range c.members.live() {
		probers = append(probers, outlier.Prober{Name: m.Name(), Zone: m.Zone()})
	}
	return probers
}

func (c *Control) ejected(service string) []string {
	var names []string
	c.ledgers.with(service, func(v *ejection.View) {
		if v.Valid(time.Now()) {
			names = v.Endpoints(ejection.StateEjected)
		}
	})
	return names
}
