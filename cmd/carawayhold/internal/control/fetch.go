package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/protocol/peer"
	"github.com/carawayhold/carawayhold/rollout"
)

const (
	fetchTimeout = 2 * time.Second
	// fetchBytes bounds the documents of one reply; a frame of the peer
	// protocol holds at most 1 MiB.
	fetchBytes = 900 << 10
)

func (c *Control) fetchDocuments(ctx context.Context, member membership.Member, candidate *rollout.Candidate) error {
	for missing := candidate.MissingDocuments(); len(missing) > 0; missing = candidate.MissingDocuments() {
		var names []string
		for _, ref := range missing {
			names = append(names, ref.Name)
		}
		reply, err := c.fetch(ctx, member, fetchRequest{Names: names})
		if err != nil {
			return err
		}
		if len(reply.Documents) == 0 {
			return eris.Wrapf(rollout.ErrIncomplete, "%s holds none of %d documents", member.Name(), len(names))
		}
		for name, value := range reply.Documents {
			if err := candidate.AddDocument(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Control) fetch(ctx context.Context, member membership.Member, request fetchRequest) (fetchReply, error) {
	var reply fetchReply
	err := c.request(ctx, member, peer.TopicConfigFetch, request, &reply)
	return reply, err
}

// request sends a request to a member, with a timeout of fetchTimeout, and
// decodes the reply.
func (c *Control) request(ctx context.Context, member membership.Member, topic string, request, reply any) error {
	payload, err := peer.Encode(request)
	if err != nil {
		return eris.Wrap(err, "control: cannot encode a request")
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := c.transport.Request(ctx, member.Address(), member.Incarnation().String(), topic, payload)
	if err != nil {
		return err
	}
	return eris.Wrap(peer.Decode(response, reply), "control: malformed reply")
}

// handleFetch serves config.fetch.
func (c *Control) handleFetch(_ context.Context, request peer.Request) ([]byte, error) {
	var fetch fetchRequest
	if err := peer.Decode(request.Payload(), &fetch); err != nil {
		return nil, eris.Wrap(err, "control: malformed request")
	}
	var reply fetchReply
	if len(fetch.Names) > 0 {
		reply.Documents = c.documents(fetch.Names)
		return peer.Encode(reply)
	}
	if c.config.revision() > fetch.Base {
		delta := c.config.holder.Since(fetch.Base)
		reply.Delta = &delta
	}
	return peer.Encode(reply)
}

func (c *Control) documents(names []string) map[string][]byte {
	documents := map[string][]byte{}
	total := 0
	for _, name := range names {
		value, ok := c.config.holder.DocumentByName(name)
		if !ok {
			continue
		}
		total += len(name) + len(value)
		if total > fetchBytes && len(documents) > 0 {
			break
		}
		documents[name] = value
	}
	return documents
}
