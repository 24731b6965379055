package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawayhold/carawayhold/admission"
)

// A booking is served before an earlier browsing request; a shed request is queued
// again.
func ExampleController() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	control := admission.New(rand.New(rand.NewPCG(1, 1)), []admission.Class{
		admission.NewClass("booking", 2, time.Second, 64),
		admission.NewClass("browse", 1, 5*time.Second, 128, admission.WithRepeatable()),
	})
	for _, class := range []string{"browse", "booking"} {
		if _, err := control.Admit(now, class, time.Time{}, "the "+class+" request"); err != nil {
			fmt.Println(err)
		}
	}
	ticket, _ := control.Next(now) // an endpoint has capacity
	fmt.Println("runs:", ticket.Value())

	now = now.Add(3 * time.Millisecond)
	control.Done(now, ticket, admission.OutcomeShed, 3*time.Millisecond)
	fmt.Println("waits again:", control.Requeue(now, ticket))

	for _, dropped := range control.Expire(now.Add(time.Second)) {
		fmt.Println("dropped:", dropped.Ticket().Value(), dropped.Reason())
	}
	// Output:
	// runs: the booking request
	// waits again: true
	// dropped: the booking request deadline
}
