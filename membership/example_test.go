package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawayhold/carawayhold/membership"
)

// Two nodes exchange messages in memory; a proxy sends them with protocol/peer.
func ExampleNode() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	newNode := func(name, address string, bits uint64) *membership.Node {
		self := membership.NewMember(name, address, "finistere", membership.NewIncarnation(now, bits))
		return membership.NewNode(self, now, rand.New(rand.NewPCG(1, bits)))
	}
	nodes := map[string]*membership.Node{
		"127.0.0.1:8082": newNode("entry-1", "127.0.0.1:8082", 1),
		"127.0.0.1:8182": newNode("entry-2", "127.0.0.1:8182", 2),
	}
	first := nodes["127.0.0.1:8082"]
	first.SetSeeds([]string{"127.0.0.1:8182"})

	pending := first.Tick(now)
	for len(pending) > 0 {
		next := pending[0]
		pending = append(pending[1:], nodes[next.Address()].Handle(now, next.Message())...)
	}
	for _, m := range first.Members() {
		fmt.Println(m.Name(), m.Status())
	}
	fmt.Println("home:", first.Home("once/atelier/7").Name())
	// Output:
	// entry-1 alive
	// entry-2 alive
	// home: entry-1
}
