package control

import (
	"context"
	"time"

	"github.com/carawayhold/carawayhold/ejection"
	"github.com/carawayhold/carawayhold/outlier"
)

const (
	trialTimeout = time.Second
	// trialsInFlight bounds the trial requests of this proxy.
	trialsInFlight = 4
)

// trialDuty sends the trial requests to ejected endpoints whose turn is this
// proxy's.
func (c *Control) trialDuty(ctx context.Context) error {
	slots := make(chan struct{}, trialsInFlight)
	return every(ctx, outlier.ProbeInterval, nil, func(ctx context.Context) {
		now := time.Now()
		probers := c.probers()
		for _, service := range c.ledgers.listed() {
			for _, name := range c.ejected(service) {
				if outlier.ProbeDue(c.self.Name(), probers, service, name, now) {
					c.startTrial(ctx, slots, service, name)
				}
			}
		}
	})
}

// startTrial sends a trial request if there is a free slot.
func (c *Control) startTrial(ctx context.Context, slots chan struct{}, service, endpoint string) {
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-slots }()
		c.sendTrial(ctx, service, endpoint)
	}()
}

func (c *Control) sendTrial(ctx context.Context, service, endpoint string) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
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
