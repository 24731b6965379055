package gateway

import (
	"time"

	"github.com/rotisserie/eris"
)

// errStopping means that the request could not be completed before the end of a graceful
// stop.
var errStopping = eris.New("gateway: stopping, no time left for the request")

const (
	// balancerLag is the time until the load balancer opens no new connections: two
	// failed checks of one second each, plus the time until the first of them.
	balancerLag = 3 * time.Second
	// stopReserve is the time between the end of a graceful stop and the kill.
	stopReserve = 800 * time.Millisecond
	// maxStopReserveShare bounds that time as a share of a short grace. Work at an endpoint
	// may be broken off in the last sixth of the grace.
	maxStopReserveShare = 2.0 / 15
	// answerShare is the share of the reserve in which requests that are still in progress
	// are answered, and the responses that wait behind them on their connections.
	answerShare = 3.0 / 8
	// refuseShare is the share of the reserve that is as long as the time before the end in
	// which queued requests are refused.
	refuseShare = 1.0 / 4
	// stopServiceFactor times the mean service time must be left for a request that the load
	// balancer may still send; an attempt that takes longer takes much longer than usual.
	stopServiceFactor = 3
)

// stopPlan holds the times of a graceful stop.
type stopPlan struct {
	acceptDeadline time.Time // the caller listener is closed
	// lagEnd is the time from which callers know that the proxy stops: a request that comes
	// later is passed on only if it ends in time even at an endpoint that does not respond.
	lagEnd         time.Time
	waitDeadline   time.Time // queued requests are refused
	end            time.Time // attempts in progress are cancelled
	answerDeadline time.Time // connections are closed
}

func newStopPlan(now time.Time, grace time.Duration) *stopPlan {
	reserve := min(stopReserve, time.Duration(maxStopReserveShare*float64(grace)))
	end := now.Add(grace - reserve)
	return &stopPlan{
		acceptDeadline: now.Add(min(balancerLag, grace/2)),
		lagEnd:         now.Add(balancerLag),
		waitDeadline:   end.Add(-time.Duration(refuseShare * float64(reserve))),
		end:            end,
		answerDeadline: end.Add(time.Duration(answerShare * float64(reserve))),
	}
}

// latestStart returns the latest time at which a request may be passed on, or false if that
// is too late at any time.
func (p *stopPlan) latestStart(readAt, deadline time.Time, serviceTime time.Duration) (time.Time, bool) {
	if !deadline.After(p.end) {
		return deadline, true
	}
	return p.end.Add(-stopServiceFactor * serviceTime), !readAt.After(p.lagEnd)
}

// admitDuringStop returns errStopping if a graceful stop leaves too little time for the
// request to be passed on now.
func (x *exchange) admitDuringStop(now time.Time) error {
	plan := x.gateway.stopPlan.Load()
	if plan == nil {
		return nil
	}
	latest, possible := plan.latestStart(x.readAt, x.deadline, x.gateway.placer.serviceTime(x.service))
	if !possible || now.After(latest) {
		return errStopping
	}
	return nil
}

// placeDeadline returns the time until which the request may wait for an endpoint: its
// deadline, or an earlier one during a graceful stop.
func (x *exchange) placeDeadline() time.Time {
	plan := x.gateway.stopPlan.Load()
	if plan == nil {
		return x.deadline
	}
	latest, _ := plan.latestStart(x.readAt, x.deadline, x.gateway.placer.serviceTime(x.service))
	if plan.waitDeadline.Before(latest) {
		return plan.waitDeadline
	}
	return latest
}
