package datapath

import (
	"context"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/claim"
	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/caller"
)

// Coordinator adapts the claim coordinator to the request path.
type Coordinator struct{ inner *claim.Coordinator }

var _ caller.Coordinator = Coordinator{}

// NewCoordinator returns the adapter for a claim coordinator.
func NewCoordinator(inner *claim.Coordinator) Coordinator { return Coordinator{inner: inner} }

// Claim obtains the right to send a request, or the final outcome.
func (c Coordinator) Claim(ctx context.Context, s *caller.Submission) (caller.Claim, once.Verdict) {
	ticket, verdict := c.inner.Claim(ctx, claim.Submission{
		Service:         service(s),
		Identity:        identity(s),
		Method:          s.Method(),
		Path:            s.Target(),
		Body:            s.Body(),
		FirstSubmission: s.FirstSubmission(),
	})
	if ticket == nil {
		return nil, verdict
	}
	return granted{coordinator: c.inner, ticket: ticket}, verdict
}

// Outcome returns the outcome of an earlier submission.
func (c Coordinator) Outcome(ctx context.Context, s *caller.Submission) once.Verdict {
	return c.inner.Outcome(ctx, service(s), identity(s))
}

func service(s *caller.Submission) claim.Service {
	described := s.Service()
	return claim.Service{
		Name:       described.Name,
		Partitions: described.Partitions(),
		Retention:  described.Retention(),
		TimedKeys:  described.TimedKeys,
	}
}

func identity(s *caller.Submission) claim.Identity {
	return claim.Identity{Authorization: s.Authorization(), Team: s.Team(), IdempotencyKey: s.Key()}
}

// granted is a claim that the coordinator granted.
type granted struct {
	coordinator *claim.Coordinator
	ticket      *claim.Ticket
}

func (g granted) BeginSend() error   { return g.ticket.BeginSend() }
func (g granted) MarkNotSent() error { return g.ticket.MarkNotSent() }

func (g granted) Answered(response once.Response) once.Verdict {
	return g.coordinator.Settle(g.ticket, claim.Answered(response))
}

func (g granted) Unknown() once.Verdict { return g.coordinator.Settle(g.ticket, claim.Unknown()) }

func (g granted) NotSent(reason once.Reason) once.Verdict {
	return g.coordinator.Settle(g.ticket, claim.NotSent(reason))
}
