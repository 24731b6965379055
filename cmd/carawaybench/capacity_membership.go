package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/carawayhold/carawayhold/membership"
	"github.com/carawayhold/carawayhold/protocol/peer"
)

var (
	tableSizes = []int{530, 1590, 5300}
	fleetSizes = []int{64, 256, 1024}
)

const (
	memberTick = 100 * time.Millisecond
	// settleTicks is how long the fleet runs before the measurement, until
	// every node knows all members.
	settleTicks  = 900
	measureTicks = 300
)

// memberFleet is a fleet of membership nodes that exchange messages in
// virtual time.
type memberFleet struct {
	nodes map[string]*membership.Node
	order []*membership.Node
	now   time.Time
	sent  int
	bytes int
	busy  time.Duration
}

func memberOf(n int, now time.Time) membership.Member {
	return membership.NewMember(fmt.Sprintf("entry-%05d", n),
		fmt.Sprintf("127.0.%d.%d:9000", n>>8&255, n&255), fmt.Sprintf("zone-%02d", n%20),
		membership.NewIncarnation(now, uint64(n)+1))
}

func newMemberFleet(size int) *memberFleet {
	f := &memberFleet{nodes: map[string]*membership.Node{}, now: time.Now()}
	var seeds []string
	for n := range size {
		seeds = append(seeds, memberOf(n, f.now).Address())
	}
	for n := range size {
		m := memberOf(n, f.now)
		node := membership.NewNode(m, f.now, rand.New(rand.NewPCG(benchSeed, uint64(n))))
		node.SetSeeds(seeds)
		f.nodes[m.Address()] = node
		f.order = append(f.order, node)
	}
	return f
}

// run advances all nodes by a number of ticks. Messages arrive within the
// tick in which they are sent.
func (f *memberFleet) run(ticks int) error {
	for range ticks {
		f.now = f.now.Add(memberTick)
		var queue []membership.Outgoing
		for _, node := range f.order {
			started := time.Now()
			queue = append(queue, node.Tick(f.now)...)
			f.busy += time.Since(started)
		}
		for len(queue) > 0 {
			answers, err := f.deliver(queue[0])
			if err != nil {
				return err
			}
			queue = append(queue[1:], answers...)
		}
	}
	return nil
}

// deliver encodes, decodes and handles one message as the two proxies
// involved would, and returns the responses.
func (f *memberFleet) deliver(o membership.Outgoing) ([]membership.Outgoing, error) {
	started := time.Now()
	defer func() { f.busy += time.Since(started) }()
	encoded, err := peer.Encode(o.Message())
	if err != nil {
		return nil, err
	}
	f.sent++
	f.bytes += len(encoded)
	node, ok := f.nodes[o.Address()]
	if !ok {
		return nil, nil
	}
	var received membership.Message
	if err := msgpack.Unmarshal(encoded, &received); err != nil {
		return nil, err
	}
	return node.Handle(f.now, received), nil
}

// fleetCost is the cost of membership per node and second in a converged
// fleet.
type fleetCost struct {
	messages, bytes, nanoseconds float64
}

// fleetCosts caches the measured costs by fleet size, so that the three rows
// about membership share one run per size.
var fleetCosts = map[int]fleetCost{}

func costOf(size int) (fleetCost, error) {
	if cost, ok := fleetCosts[size]; ok {
		return cost, nil
	}
	f := newMemberFleet(size)
	if err := f.run(settleTicks); err != nil {
		return fleetCost{}, err
	}
	f.sent, f.bytes, f.busy = 0, 0, 0
	if err := f.run(measureTicks); err != nil {
		return fleetCost{}, err
	}
	nodeSeconds := float64(size) * (measureTicks * memberTick).Seconds()
	fleetCosts[size] = fleetCost{
		messages: float64(f.sent) / nodeSeconds, bytes: float64(f.bytes) / nodeSeconds,
		nanoseconds: float64(f.busy.Nanoseconds()) / nodeSeconds,
	}
	return fleetCosts[size], nil
}

func memberMessages() (slopeRow, error) {
	samples, err := bySize(fleetSizes, func(size int) (float64, error) {
		cost, err := costOf(size)
		return cost.messages, err
	})
	return slopeRow{name: "membership messages sent per node and second", unit: "messages/member", samples: samples, target: targetNodes}, err
}

func memberMessageBytes() (slopeRow, error) {
	samples, err := bySize(fleetSizes, func(size int) (float64, error) {
		cost, err := costOf(size)
		return cost.bytes, err
	})
	return slopeRow{name: "membership bytes sent per node and second, without frames", unit: "B/member", samples: samples, target: targetNodes}, err
}

func memberTime() (slopeRow, error) {
	samples, err := bySize(fleetSizes, func(size int) (float64, error) {
		cost, err := costOf(size)
		return cost.nanoseconds, err
	})
	return slopeRow{name: "processor time of membership per node and second, with the codec", unit: "ns/member", samples: samples, target: targetNodes}, err
}

// memberMemory measures the table of a single node that has received messages
// of size members.
func memberMemory() (slopeRow, error) {
	samples, err := bySize(tableSizes, func(size int) (float64, error) {
		now := time.Now()
		return heapOf(func() any { return nodeWithMembers(size, now) }), nil
	})
	return slopeRow{name: "memory of the member table", unit: "B/member", samples: samples, target: targetNodes}, err
}

func nodeWithMembers(size int, now time.Time) *membership.Node {
	node := membership.NewNode(memberOf(0, now), now, rand.New(rand.NewPCG(benchSeed, benchSeed)))
	for n := 1; n < size; n++ {
		m := memberOf(n, now)
		node.Handle(now, membership.Message{
			Kind: membership.KindPing, Sequence: uint64(n), ConfirmedAgeMillis: -1,
			Sender: membership.Update{
				Incarnation: m.Incarnation(), Name: m.Name(), Address: m.Address(), Zone: m.Zone(),
				Status: membership.StatusAlive,
			},
		})
	}
	return node
}

func rankingTime() (slopeRow, error) {
	samples, err := bySize(tableSizes, func(size int) (float64, error) {
		node := nodeWithMembers(size, time.Now())
		return shortestTime(buildRuns, func() { node.Evaluators("service-00001", 2) }), nil
	})
	return slopeRow{name: "processor time to rank the members for one name", unit: "ns/member", samples: samples, target: targetNodes}, err
}
