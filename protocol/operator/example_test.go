package operator_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"

	"github.com/carawayhold/carawayhold/protocol/operator"
	"github.com/carawayhold/carawayhold/protocol/platform"
)

// store is a platform in memory.
type store struct {
	mu      sync.Mutex
	version int64
	objects map[string]platform.Object
}

func (s *store) Get(_ context.Context, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object, ok := s.objects[name]; ok {
		return object, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (s *store) Put(_ context.Context, name string, expect int64, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != expect {
		return 0, platform.ErrConflict
	}
	s.version++
	s.objects[name] = platform.Object{Name: name, Version: s.version, Value: value}
	return s.version, nil
}

type views struct{}

func (views) Status(context.Context) (operator.Status, error) {
	return operator.Status{Proxy: "entry-1", Ready: true}, nil
}

func (views) Endpoints(context.Context, string) ([]operator.EndpointStatus, bool, error) {
	return nil, false, nil
}

// A change is planned, confirmed, and then found in the audit trail.
func Example() {
	server := operator.NewServer(&store{objects: map[string]platform.Object{}}, views{}, views{}, operator.SystemClock{})
	proxy := httptest.NewServer(server.Handler())
	defer proxy.Close()
	client, err := operator.NewClient([]string{proxy.URL})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx := context.Background()
	plan, err := client.Plan(ctx, []byte(`{"services": [{
	  "name": "depot",
	  "routes": [{"pathPrefix": "/depot", "class": "prompt"}],
	  "endpoints": [{"name": "depot-1", "address": "10.0.0.1:8080", "zone": "morbihan", "slots": 6}],
	  "classes": [{"name": "prompt", "priority": 1, "repeat": "allowed", "deadlineMillis": 900, "queueLimit": 9}],
	  "floor": 1, // the only endpoint is never ejected
	}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(plan.Difference.Summary())
	fmt.Println(plan.Warnings[0])
	confirmed, err := client.Confirm(ctx, operator.Confirmation{
		Operation: "6f3a0c7e-first", Operator: "maelle", Plan: plan,
	})
	fmt.Println(confirmed.Revision, err)
	page, err := client.Audit(ctx, "depot", 0, 10)
	fmt.Println(page.Entries[0].Operator, page.Entries[0].Summary, err)
	// Output:
	// added depot
	// depot: the floor equals the number of endpoints (1); no endpoint can ever be ejected
	// 1 <nil>
	// maelle added depot <nil>
}
