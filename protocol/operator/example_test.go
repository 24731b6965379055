package operator

import (
	"context"
	"fmt"
	"net/http/httptest"
)

// Plans and confirms a change and reads its audit entry.
func Example() {
	server := NewServer(newMemoryStore(), noStatus{}, noEndpoints{}, SystemClock{})
	proxy := httptest.NewServer(server.Handler())
	defer proxy.Close()
	client, err := NewClient([]string{proxy.URL})
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
	confirmed, err := client.Confirm(ctx, Confirmation{
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
