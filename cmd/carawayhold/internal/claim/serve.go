package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

// Serve handles a request of another proxy and returns the reply. It returns
// ErrInvalidCall for an unknown topic or an invalid payload; the peer transport
// then replies with the error text instead of a payload.
func (c *Coordinator) Serve(ctx context.Context, topic string, payload []byte) ([]byte, error) {
	switch topic {
	case TopicClaim:
		return c.serveClaim(ctx, payload)
	case TopicSettle:
		return c.serveSettle(ctx, payload)
	case TopicQuery:
		return c.serveQuery(ctx, payload)
	default:
		return nil, eris.Wrapf(ErrInvalidCall, "topic %q", topic)
	}
}

func (c *Coordinator) serveClaim(ctx context.Context, payload []byte) ([]byte, error) {
	var call claimCall
	if err := decode(payload, &call); err != nil {
		return nil, err
	}
	partition, err := partitionFor(call.Service, call.Partitions, call.Request.Key)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.RemainingMillis)*time.Millisecond)
	defer cancel()
	r := c.submit(ctx, partition, operation{claim: &call.Request})
	return encode(&claimReply{
		Decision: r.decision, Problem: problemOf(r.err), NotRun: r.notRun, InDoubt: r.inDoubt,
	})
}

func (c *Coordinator) serveSettle(ctx context.Context, payload []byte) ([]byte, error) {
	var call settleCall
	if err := decode(payload, &call); err != nil {
		return nil, err
	}
	partition, err := partitionFor(call.Service, call.Partitions, call.Settlement.Key)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.RemainingMillis)*time.Millisecond)
	defer cancel()
	r := c.submit(ctx, partition, operation{settlement: &call.Settlement})
	return encode(&settleReply{Result: r.settled, Problem: problemOf(r.err)})
}

func (c *Coordinator) serveQuery(ctx context.Context, payload []byte) ([]byte, error) {
	var call queryCall
	if err := decode(payload, &call); err != nil {
		return nil, err
	}
	if call.Claimant != c.peers.Self() {
		// This process replaced the claimant and has no record of its claims.
		return encode(&queryReply{Reply: once.ClaimantReply{State: once.ClaimantUnreachable}})
	}
	wait := min(time.Duration(call.WaitMillis)*time.Millisecond, maxQueryWait)
	return encode(&queryReply{Reply: c.awaitClaim(ctx, call.Claim, max(wait, 0))})
}

func partitionFor(service string, partitions int, key once.Key) (partitionKey, error) {
	if service == "" || partitions < 1 {
		return partitionKey{}, eris.Wrapf(ErrInvalidCall, "service %q with %d partitions", service, partitions)
	}
	return partitionKey{
		service:    service,
		index:      once.PartitionOf(key, partitions),
		partitions: partitions,
	}, nil
}

func decode(payload []byte, call any) error {
	if err := peer.Decode(payload, call); err != nil {
		return eris.Wrapf(ErrInvalidCall, "%v", err)
	}
	return nil
}

func encode(message any) ([]byte, error) {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "once: cannot encode a reply")
	}
	return payload, nil
}
