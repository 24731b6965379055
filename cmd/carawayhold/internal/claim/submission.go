package claim

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/once"
)

// ErrInvalidSubmission means that a submission has an invalid field.
var ErrInvalidSubmission = eris.New("once: invalid submission")

// Service holds the at-most-once settings of a service.
type Service struct {
	Name       string
	Partitions int
	Retention  time.Duration
	TimedKeys  bool
}

func (s Service) validate() error {
	switch {
	case s.Name == "":
		return eris.Wrap(ErrInvalidSubmission, "service: want a name")
	case s.Partitions < 1:
		return eris.Wrapf(ErrInvalidSubmission, "partitions: %d, want 1 or more", s.Partitions)
	case s.Retention <= 0:
		return eris.Wrapf(ErrInvalidSubmission, "retention: %s, want more than 0", s.Retention)
	}
	return nil
}

// Identity holds the values that identify a submission within a service. Equal
// idempotency keys of different authorizations or teams are independent.
type Identity struct {
	Authorization  string
	Team           string
	IdempotencyKey string
}

func (i Identity) key(service string) once.Key {
	return once.NewKey(service, i.Authorization, i.Team, i.IdempotencyKey)
}

// Submission is a caller's request that must run at most once.
type Submission struct {
	Service  Service
	Identity Identity
	Method   string
	// Path includes the query string.
	Path string
	Body []byte
	// FirstSubmission is the caller's declaration that it has never submitted this
	// key before and that no intermediary resends requests. Only with it does Claim
	// return not-run when the record cannot be read.
	FirstSubmission bool
}

func (s Submission) request(id once.ClaimID, claimant string) once.ClaimRequest {
	r := once.ClaimRequest{
		Key:             s.Identity.key(s.Service.Name),
		Fingerprint:     once.NewFingerprint(s.Method, s.Path, s.Body),
		Claim:           id,
		Claimant:        claimant,
		RetentionMillis: s.Service.Retention.Milliseconds(),
		RequireTimedKey: s.Service.TimedKeys,
	}
	if created, err := once.KeyTime(s.Identity.IdempotencyKey); err == nil && s.Service.TimedKeys {
		r.KeyTimeMillis = created.UnixMilli()
	}
	return r
}
