package control

import (
	"context"
)

// ClaimPeers gives the at-most-once coordinator access to the other proxies.
type ClaimPeers struct {
	members   *members
	transport Transport
}

// Self returns this process's incarnation.
func (p *ClaimPeers) Self() string { return p.members.self().Incarnation().String() }

// Homes returns the incarnations of the count live members with the highest
// rendezvous scores for the name, in that order.
func (p *ClaimPeers) Homes(name string, count int) []string {
	var homes []string
	for _, m := range p.members.ranked(name, count) {
		homes = append(homes, m.Incarnation().String())
	}
	return homes
}

// Request sends a payload to exactly that incarnation and returns its reply.
// It fails if the incarnation is not a live member.
func (p *ClaimPeers) Request(ctx context.Context, incarnation, topic string, payload []byte) ([]byte, error) {
	member, ok := p.members.lookup(incarnation)
	if !ok {
		return nil, errUnknownMember
	}
	return p.transport.Request(ctx, member.Address(), incarnation, topic, payload)
}
