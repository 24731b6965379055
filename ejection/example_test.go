package ejection_test

import (
	"fmt"
	"time"

	"github.com/carawayhold/carawayhold/ejection"
)

// A proxy ejects one endpoint. Ejecting a second one would violate the floor.
func ExampleDraft() {
	pool := ejection.NewPool(12, 5, []string{"s1", "s2", "s3", "s4", "s5", "s6"})
	read, _ := ejection.Decode("spedition", nil)

	d := ejection.NewDraft(read, pool, "entry-1", "op-1", time.Now())
	fmt.Println(d.Propose(ejection.Candidate{Endpoint: "s4", Kind: "wrong", Evidence: 12}))
	err := d.Propose(ejection.Candidate{Endpoint: "s5", Kind: "error", Evidence: 10})
	fmt.Println(err)

	written, changes, _ := d.Finish()
	fmt.Println(written.ConfigRevision, changes[0].Action, changes[0].Entry.Endpoint)
	// Output:
	// <nil>
	// s5 would leave 4, floor is 5: ejection: capacity floor reached
	// 12 eject s4
}

// The validity of a copy starts when its read is sent.
func ExampleView() {
	v := ejection.NewView("spedition")
	sentAt := time.Now()
	l := ejection.Ledger{Service: "spedition", Entries: []ejection.Entry{
		{Endpoint: "s4", State: ejection.StateEjected, Kind: "wrong", Operation: "op-1"},
	}}
	_ = v.ObservePlatform(l, 1, sentAt, sentAt.Add(3*time.Millisecond))

	fmt.Println(v.Ejected("s4", sentAt.Add(29*time.Second)))
	fmt.Println(v.Ejected("s4", sentAt.Add(30*time.Second)))
	// Output:
	// true
	// false
}
