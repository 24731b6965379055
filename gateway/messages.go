package gateway

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawayhold/carawayhold/placement"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// hubState is sent by a hub to all members, periodically and on each change.
type hubState struct {
	Member  Member
	Version uint64 // of the configuration in force
	Digest  uint64 // of the endpoint registry
	// StoreAgeMillis is the time since the store last answered the hub.
	StoreAgeMillis int64
	// Leaving is set by a hub that stops.
	Leaving bool
	// Changes are the endpoints that changed, Joined the members that are new.
	Changes []Endpoint
	Joined  []Member
	// Suspicions are those of the services that the hub places which changed since its
	// last message, by service.
	Suspicions map[string][]suspicion
}

// suspicion is a placement.Suspicion.
type suspicion struct {
	ID              string
	FailingPerMille int
}

// syncRequest asks for what the sender does not have.
type syncRequest struct {
	Member  Member
	Version uint64 // of the configuration that it has
	Digest  uint64 // of the registry that it has
	Since   uint64 // the revision up to which its registry is complete
	Known   int    // the members that it knows
}

type syncReply struct {
	Configuration  *Configuration // if newer
	Endpoints      []Endpoint     // if the digests differ
	Members        []Member
	StoreAgeMillis int64
	// Complete is set if the sender has the endpoints and a configuration.
	Complete bool
}

// askMessage is a placement.Request with times as what is left of them.
type askMessage struct {
	Service        string
	Token          uint64
	Zone           string
	Repeatable     bool
	Again          bool
	Priority       int
	AimMillis      int64
	DeadlineMillis int64
	Avoid          []string
	Moved          bool
}

func (m *askMessage) ask(now time.Time, proxy string) placement.Request {
	return placement.Request{
		Token: m.Token, Proxy: proxy, Zone: m.Zone, Repeatable: m.Repeatable, Retry: m.Again,
		Priority: m.Priority, Avoid: m.Avoid, Rerouted: m.Moved,
		SoftDeadline: now.Add(time.Duration(m.AimMillis) * time.Millisecond),
		Deadline:     now.Add(time.Duration(m.DeadlineMillis) * time.Millisecond),
	}
}

func newAskMessage(service string, now time.Time, a placement.Request) *askMessage {
	return &askMessage{
		Service: service, Token: a.Token, Zone: a.Zone, Repeatable: a.Repeatable, Again: a.Retry,
		Priority: a.Priority, Avoid: a.Avoid, Moved: a.Rerouted,
		AimMillis:      a.SoftDeadline.Sub(now).Milliseconds(),
		DeadlineMillis: a.Deadline.Sub(now).Milliseconds(),
	}
}

// decisionMessage is the reply to a placement request, at once or after a wait.
type decisionMessage struct {
	Token            uint64
	Verdict          placement.Verdict
	Reason           placement.Reason
	ID               string
	Address          string
	Zone             string
	FailingPerMille  int
	RetryAfterMillis int64
}

func newDecisionMessage(d placement.Decision) *decisionMessage {
	return &decisionMessage{
		Token: d.Token, Verdict: d.Verdict, Reason: d.Reason,
		ID: d.Endpoint.ID(), Address: d.Endpoint.Address(), Zone: d.Endpoint.Zone(),
		FailingPerMille:  int(d.FailureProbability * 1000),
		RetryAfterMillis: d.RetryAfter.Milliseconds(),
	}
}

func (m *decisionMessage) decision(proxy string) placement.Decision {
	return placement.Decision{
		Token: m.Token, Proxy: proxy, Verdict: m.Verdict, Reason: m.Reason,
		Endpoint:           placement.NewEndpoint(m.ID, m.Address, m.Zone, 1, time.Time{}),
		FailureProbability: float64(m.FailingPerMille) / 1000,
		RetryAfter:         time.Duration(m.RetryAfterMillis) * time.Millisecond,
	}
}

// endMessage reports the end of an attempt.
type endMessage struct {
	Service       string
	Token         uint64
	Endpoint      string
	Outcome       placement.Outcome
	ElapsedMillis int64
	// Alone is set for an attempt that the sender placed itself.
	Alone bool
}

func encode(message any) []byte {
	b, err := peer.Encode(message)
	if err != nil {
		// The messages hold only types that have an encoding.
		panic(err)
	}
	return b
}

func decode(b []byte, message any) error { return msgpack.Unmarshal(b, message) }
