package claim_test

import (
	"context"
	"fmt"
	"time"

	"github.com/carawayhold/carawayhold/cmd/carawayhold/internal/claim"
	"github.com/carawayhold/carawayhold/once"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

type alone struct{}

func (alone) Self() string                   { return "proxy-1" }
func (alone) Homes(_ string, _ int) []string { return []string{"proxy-1"} }
func (alone) Request(context.Context, string, string, []byte) ([]byte, error) {
	return nil, claim.ErrUnavailable
}

type objects map[string]platform.Object

func (o objects) Get(_ context.Context, name string) (platform.Object, error) {
	object, ok := o[name]
	if !ok {
		return object, platform.ErrNotFound
	}
	return object, nil
}

func (o objects) Put(_ context.Context, name string, expect int64, value []byte) (int64, error) {
	if o[name].Version != expect {
		return 0, platform.ErrConflict
	}
	o[name] = platform.Object{Name: name, Version: expect + 1, Value: value}
	return expect + 1, nil
}

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	coordinator := claim.New(objects{}, alone{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = coordinator.Run(ctx)
	}()
	submission := claim.Submission{
		Service:  claim.Service{Name: "lager", Partitions: 64, Retention: 24 * time.Hour},
		Identity: claim.Identity{Team: "graz", IdempotencyKey: "pallet-7"},
		Method:   "POST",
		Path:     "/reservations",
	}
	ticket, verdict := coordinator.Claim(ctx, submission)
	for ticket == nil && verdict.Reason() == once.ReasonUnavailable { // until Run has started
		time.Sleep(time.Millisecond)
		ticket, verdict = coordinator.Claim(ctx, submission)
	}
	if err := ticket.BeginSend(); err == nil {
		// Send the request to an endpoint here, on a new connection.
		verdict = coordinator.Settle(ticket, claim.Answered(once.NewResponse(201, nil, []byte("reserved"))))
	}
	fmt.Println(verdict.Outcome())

	_, verdict = coordinator.Claim(ctx, submission)
	fmt.Printf("%s: %s\n", verdict.Outcome(), verdict.Response().Body)
	_ = coordinator.Flush(ctx)
	cancel()
	<-stopped
	// Output:
	// answered
	// answered: reserved
}
