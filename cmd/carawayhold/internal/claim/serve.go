package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawayhold/carawayhold/once"
)

// Serve answers a request of another proxy. ErrCall means that the topic or the
// payload is not valid; the peer server then sends no reply.
func (c *Coordinator) Serve(ctx context.Context, topic string, payload []byte) ([]byte, error) {
	switch topic {
	case TopicClaim:
		return c.serveClaim(ctx, payload)
	case TopicSettle:
		return c.serveSettle(ctx, payload)
	case TopicQuery:
		return c.serveQuery(ctx, payload)
	default:
		return nil, eris.Wrapf(ErrCall, "topic %q", topic)
	}
}

func (c *Coordinator) serveClaim(ctx context.Context, payload []byte) ([]byte, error) {
	var call GrantCall
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
	return encode(&GrantReply{
		Decision: r.decision, Problem: problemOf(r.err), NotRun: r.neverRan, InDoubt: r.inDoubt,
	})
}

func (c *Coordinator) serveSettle(ctx context.Context, payload []byte) ([]byte, error) {
	var call SettleCall
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
	return encode(&SettleReply{Result: r.settled, Problem: problemOf(r.err)})
}

func (c *Coordinator) serveQuery(ctx context.Context, payload []byte) ([]byte, error) {
	var call QueryCall
	if err := decode(payload, &call); err != nil {
		return nil, err
	}
	if call.Claimant != c.peers.Self() {
		// A process that replaced the claimant knows nothing about its claims.
		return encode(&QueryReply{Reply: once.ClaimantReply{State: once.ClaimantUnreachable}})
	}
	wait := min(time.Duration(call.WaitMillis)*time.Millisecond, queryWait)
	return encode(&QueryReply{Reply: c.answerQuery(ctx, call.Claim, max(wait, 0))})
}

func partitionFor(service string, partitions int, key once.Key) (partitionKey, error) {
	if service == "" || partitions < 1 {
		return partitionKey{}, eris.Wrapf(ErrCall, "service %q with %d partitions", service, partitions)
	}
	return partitionKey{
		service:    service,
		index:      once.PartitionOf(key, partitions),
		partitions: partitions,
	}, nil
}

func decode(payload []byte, call any) error {
	if err := msgpack.Unmarshal(payload, call); err != nil {
		return eris.Wrapf(ErrCall, "%v", err)
	}
	return nil
}

func encode(answer any) ([]byte, error) {
	payload, err := msgpack.Marshal(answer)
	if err != nil {
		return nil, eris.Wrap(err, "once: cannot encode a reply")
	}
	return payload, nil
}
