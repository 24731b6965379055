package config

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func depot(t *testing.T) Service {
	t.Helper()
	document, err := Parse([]byte(validDocument))
	require.NoError(t, err)
	return document.Services[0]
}

// Guards against a digest that depends on the order of lists or on explicit defaults,
// and against one that does not include a field.
func TestCanonical(t *testing.T) {
	s := depot(t)
	same := s.WithDefaults()
	slices.Reverse(same.Endpoints)
	same.Classes = append([]Class{}, s.Classes...)
	slices.Reverse(same.Classes)
	same.Routes = append([]Route{}, s.Routes...)
	slices.Reverse(same.Routes)
	require.Equal(t, s.Digest(), same.Digest())

	digests := map[string]bool{s.Digest(): true}
	changes := []func(*Service){
		func(s *Service) { s.Floor = 2 },
		func(s *Service) { s.TimedKeys = true },
		func(s *Service) { s.BufferBytes = 5 },
		func(s *Service) { s.Routes = s.Routes[:1] },
		func(s *Service) { s.Teams = []string{"a"} },
		func(s *Service) { s.Classes[0].Hedge = true },
		func(s *Service) { s.Endpoints[0].Slots = 7 },
	}
	for _, change := range changes {
		changed := depot(t)
		change(&changed)
		digests[changed.Digest()] = true
	}
	require.Len(t, digests, len(changes)+1)

	_, err := DecodeStored(s.Canonical(), Digest(nil))
	require.ErrorIs(t, err, ErrDigest)
}

// Checks the defaults that docs/design.md documents.
func TestDefaults(t *testing.T) {
	s := Service{Endpoints: []Endpoint{{}}}
	require.Equal(t, int64(1<<20), s.BufferLimit())
	require.Equal(t, 10*time.Second, s.WarmUp())
	require.Equal(t, 0.1, s.RetryBudget())
	require.Equal(t, 64, s.Partitions())
	require.Equal(t, 24*time.Hour, s.Retention())
	require.Equal(t, WeightingBalanced, s.WeightingOrDefault())
	require.Equal(t, 300, s.Endpoints[0].ConnectionLimit())
	require.True(t, s.AllowsTeam("any"))
}

func changed(t *testing.T, replacements ...string) Service {
	t.Helper()
	text := strings.NewReplacer(replacements...).Replace(validDocument)
	document, err := Parse([]byte(text))
	require.NoError(t, err)
	return document.Services[0]
}

// Guards against a difference that omits a change or reports one that is none.
func TestDifference(t *testing.T) {
	tests := []struct {
		name          string
		before, after []Service
		want          string
	}{
		{"none", []Service{depot(t)}, []Service{depot(t).WithDefaults()}, "no changes\n"},
		{"fields", []Service{depot(t)}, []Service{changed(t, `"floor": 1`, `"floor": 2, "teams": ["a"]`,
			`{"name": "depot-2", "address": "10.0.0.2:8080"`, `{"name": "depot-3", "address": "10.0.0.3:8080"`,
			`"methods": ["POST"], `, ``)}, strings.Join([]string{
			`~ service depot (changed)`,
			`    - endpoints[depot-2].address: "10.0.0.2:8080"`,
			`    - endpoints[depot-2].connections: 300`,
			`    - endpoints[depot-2].slots: 6`,
			`    - endpoints[depot-2].zone: "morbihan"`,
			`    + endpoints[depot-3].address: "10.0.0.3:8080"`,
			`    + endpoints[depot-3].connections: 300`,
			`    + endpoints[depot-3].slots: 6`,
			`    + endpoints[depot-3].zone: "morbihan"`,
			`    ~ floor: 1 -> 2`,
			`    + routes[* /depot/dropoffs].class: "booking"`,
			`    - routes[POST /depot/dropoffs].class: "booking"`,
			`    + teams: ["a"]`,
			``,
		}, "\n")},
		{"services", []Service{{Name: "atelier"}}, []Service{{Name: "patronnier"}}, strings.Join([]string{
			`- service atelier (removed)`,
			`    - floor: 0`,
			`    - heldBytes: 1048576`,
			`    - oncePartitions: 64`,
			`    - retentionMillis: 86400000`,
			`    - retryBudgetPercent: 10`,
			`    - warmUpMillis: 10000`,
			`    - weighting: "balanced"`,
			`+ service patronnier (added)`,
			`    + floor: 0`,
			`    + heldBytes: 1048576`,
			`    + oncePartitions: 64`,
			`    + retentionMillis: 86400000`,
			`    + retryBudgetPercent: 10`,
			`    + warmUpMillis: 10000`,
			`    + weighting: "balanced"`,
			``,
		}, "\n")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, Diff(tt.before, tt.after).String())
		})
	}
}

// Guards against missing warnings about changes that remove capacity, routes or the
// protection from repeated execution.
func TestWarnings(t *testing.T) {
	newService := func(floor int, addresses ...string) Service {
		s := Service{Name: "depot", Floor: floor, Routes: []Route{{PathPrefix: "/depot"}}}
		for i, a := range addresses {
			s.Endpoints = append(s.Endpoints, Endpoint{Address: a, Zone: []string{"finistere", "morbihan"}[i%2]})
		}
		return s
	}
	withClass := func(hours int64, rule Repeat) Service {
		s := newService(1, "a", "b")
		s.RetentionMillis = hours * 3600 * 1000
		s.Classes = []Class{{Name: "booking", Repeat: rule}}
		return s
	}
	tests := []struct {
		name          string
		before, after []Service
		want          []string
	}{
		{"none", []Service{newService(2, "a", "b", "c")}, []Service{newService(2, "a", "b", "d")}, nil},
		{
			"floor equal", nil,
			[]Service{newService(2, "a", "b")},
			[]string{"depot: the floor equals the number of endpoints (2); no endpoint can ever be ejected"},
		},
		{
			"floor zero", nil,
			[]Service{newService(0, "a", "b")},
			[]string{"depot: the floor is 0; every endpoint may be ejected at the same time"},
		},
		{
			"removal",
			[]Service{newService(1, "a", "b")},
			nil,
			[]string{"depot: the removed service has 1 routes; their callers will get 404"},
		},
		{
			"below the floor",
			[]Service{newService(2, "a", "b", "c")},
			[]Service{newService(1, "a", "d", "e")},
			[]string{"depot: only 1 of 3 endpoints stay, below the present floor of 2; add new endpoints first and remove old ones later"},
		},
		{"repeat", []Service{withClass(24, RepeatNever)}, []Service{withClass(1, RepeatAllowed)}, []string{
			"depot: the retention of at-most-once records drops from 24h0m0s to 1h0m0s; a request resubmitted later runs again",
			"depot: requests of class booking may now run more than once",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var texts []string
			for _, w := range Warnings(tt.before, tt.after) {
				texts = append(texts, w.String())
			}
			require.Equal(t, tt.want, texts)
		})
	}
}

// Guards against a plan that conflicts with services it does not name, and against
// accepting an edited plan.
func TestPlan(t *testing.T) {
	other := depot(t)
	other.Name = "atelier"
	base := BaseConfiguration{Revision: 4, Services: map[string]StoredService{"atelier": {Document: "config/doc/atelier/4-x", Service: other}}}

	_, err := NewPlan(base, Document{Services: []Service{depot(t)}, Remove: []string{"patronnier"}})
	require.EqualError(t, err, strings.Join([]string{
		`remove[0]: there is no service "patronnier"; want the name of an existing service`,
		`services[0].routes[0]: the route POST /depot/dropoffs duplicates a route of service atelier; want another host, path prefix or method`,
		`services[0].routes[1]: the route * /depot duplicates a route of service atelier; want another host, path prefix or method`,
	}, "\n"))

	repartitioned := other
	repartitioned.OncePartitions = 32
	_, err = NewPlan(base, Document{Services: []Service{repartitioned}})
	require.EqualError(t, err,
		"services[0].oncePartitions: the number of partitions of an existing service cannot change; want 64")

	plan, err := NewPlan(base, Document{Services: []Service{depot(t)}, Remove: []string{"atelier"}})
	require.NoError(t, err)
	require.Equal(t, map[string]string{"atelier": "config/doc/atelier/4-x", "depot": ""}, plan.Versions)

	content, err := json.Marshal(plan)
	require.NoError(t, err)
	var received Plan
	require.NoError(t, json.Unmarshal(content, &received))
	require.True(t, received.DigestMatches())
	received.Document.Services[0].Floor = 0
	require.False(t, received.DigestMatches())
}
