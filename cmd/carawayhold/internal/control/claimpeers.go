package control

import (
	"context"
)

// ClaimPeers calls other proxies for the at-most-once coordinator.
type ClaimPeers struct {
	members   *members
	transport Transport
}

// Self returns this process's incarnation.
func (p *ClaimPeers) Self() string { return p.members.self().Incarnation().String() }

// Homes returns the incarnations of live members in the order of their
// rendezvous weights for the name.
func (p *ClaimPeers) Homes(name string, count int) []string {
	var homes []string
	for _, m := range p.members.ranked(name, count) {
		homes = append(homes, m.Incarnation().String())
	}
	return homes
}

// Request sends a payload to exactly that incarnation and returns its reply.
func (p *ClaimPeers) Request(ctx context.Context, incarnation, topic string, payload []byte) ([]byte, error) {
	member, ok := p.members.lookup(incarnation)
	if !ok {
		return nil, errNoMember
	}
	return p.transport.Request(ctx, member.Address(), incarnation, topic, payload)
}
