package config_test

import (
	"fmt"

	"github.com/carawayhold/carawayhold/config"
)

// Each mistake has its position and a description of a correct value.
func ExampleParse() {
	_, err := config.Parse([]byte(`{
	  "services": [{
	    "name": "depot",
	    "routes": [{"pathPrefix": "/depot", "class": "browse"}],
	    "endpoints": [{"name": "depot-1", "address": "10.0.0.1", "zone": "morbihan", "slots": 6}],
	    "classes": [{"name": "prompt", "priority": 1, "repeat": "allowed", "deadlineMillis": 900, "queueLimit": 9}],
	    "floor": 2,
	  }],
	}`))
	fmt.Println(err)
	// Output:
	// line 4, column 51: services[0].routes[0].class: the service has no class "browse"; want one of "prompt"
	// line 5, column 51: services[0].endpoints[0].address: "10.0.0.1" is not an address; want an IP address and a port, for example 10.0.0.7:8080 or [fd00::7]:8080
	// line 7, column 15: services[0].floor: 2 is out of range; want a number from 0 to 1 (the service's endpoints)
}

// Setting a field to its default makes no difference.
func ExampleDiff() {
	before := config.Service{Name: "depot", Floor: 9}
	after := config.Service{Name: "depot", Floor: 10, Weighting: config.WeightingBalanced}
	fmt.Print(config.Diff([]config.Service{before}, []config.Service{after}))
	// Output:
	// ~ service depot (changed)
	//     ~ floor: 9 -> 10
}
