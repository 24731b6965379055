package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawayhold/carawayhold/balance"
)

// An endpoint that sheds gets fewer requests; one that is ejected gets none.
func ExamplePool() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pool := balance.NewPool("finistere", rand.New(rand.NewPCG(1, 1)),
		balance.NewEndpoint("depot-1", "finistere", 6),
		balance.NewEndpoint("depot-2", "morbihan", 6),
	)
	first, _ := pool.Pick(now)
	fmt.Println("first:", first.Name())

	now = now.Add(2 * time.Millisecond)
	pool.Done(now, first.Name(), balance.ResultShed, 2*time.Millisecond)
	fmt.Printf("limit after a shed: %.1f of %d\n", pool.Limit(first.Name()), first.Slots())
	second, _ := pool.Pick(now, first.Name())
	fmt.Println("second:", second.Name())

	pool.SetEjected("depot-1", true)
	pool.SetDraining("depot-2", true)
	fmt.Println("available:", pool.Available(now))
	// Output:
	// first: depot-1
	// limit after a shed: 5.4 of 6
	// second: depot-2
	// available: false
}
