package datapath

import (
	"context"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/claim"
	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/caller"
)

// Coordinator adapts a claim coordinator to the interface of the request path.
type Coordinator struct{ claims *claim.Coordinator }

var _ caller.Coordinator = Coordinator{}

// NewCoordinator wraps a claim coordinator.
func NewCoordinator(claims *claim.Coordinator) Coordinator { return Coordinator{claims: claims} }

// Claim returns the right to send a request, or no claim and the final outcome.
func (c Coordinator) Claim(ctx context.Context, s *caller.Submission) (caller.Claim, once.Verdict) {
	ticket, verdict := c.claims.Claim(ctx, claim.Submission{
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
	return grantedClaim{coordinator: c.claims, ticket: ticket}, verdict
}

// Outcome returns the outcome of an earlier submission.
func (c Coordinator) Outcome(ctx context.Context, s *caller.Submission) once.Verdict {
	return c.claims.Outcome(ctx, service(s), identity(s))
}

func service(s *caller.Submission) claim.Service {
	configured := s.Service()
	return claim.Service{
		Name:       configured.Name,
		Partitions: configured.Partitions(),
		Retention:  configured.Retention(),
		TimedKeys:  configured.TimedKeys,
	}
}

func identity(s *caller.Submission) claim.Identity {
	return claim.Identity{Authorization: s.Authorization(), Team: s.Team(), IdempotencyKey: s.Key()}
}

// grantedClaim adapts a ticket to the interface of the request path.
type grantedClaim struct {
	coordinator *claim.Coordinator
	ticket      *claim.Ticket
}

func (g grantedClaim) BeginSend() error   { return g.ticket.BeginSend() }
func (g grantedClaim) MarkNotSent() error { return g.ticket.MarkNotSent() }

func (g grantedClaim) Answered(response once.Response) once.Verdict {
	return g.coordinator.Settle(g.ticket, claim.Answered(response))
}

func (g grantedClaim) Unknown() once.Verdict { return g.coordinator.Settle(g.ticket, claim.Unknown()) }

func (g grantedClaim) NotSent(reason once.Reason) once.Verdict {
	return g.coordinator.Settle(g.ticket, claim.NotSent(reason))
}
