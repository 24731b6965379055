package main

import (
	"fmt"
	"time"

	"github.com/carawayhold/carawayhold/config"
	"github.com/carawayhold/carawayhold/rollout"
)

var (
	routeSizes   = []int{7000, 21_000, 70_000}
	teamSizes    = []int{79_000, 237_000, 790_000}
	serviceSizes = []int{640, 1920, 6400}
)

const (
	classesPerService = 3
	buildRuns         = 5
)

// services returns count services with the given total numbers of routes,
// endpoints and teams, distributed evenly.
func services(count, routes, endpoints, teams int) []config.Service {
	list := make([]config.Service, count)
	for i := range list {
		list[i] = config.Service{
			Name: fmt.Sprintf("service-%05d", i), Floor: 1,
			Classes: []config.Class{
				{Name: "booking", Priority: 3, Repeat: config.RepeatNever, DeadlineMillis: 3000, QueueLimit: 200},
				{Name: "prompt", Priority: 2, Repeat: config.RepeatAllowed, DeadlineMillis: 1000, QueueLimit: 100},
				{Name: "browse", Priority: 1, Repeat: config.RepeatAllowed, DeadlineMillis: 5000, QueueLimit: 100},
			},
		}
	}
	for n := range routes {
		s := &list[n%count]
		s.Routes = append(s.Routes, config.Route{
			PathPrefix: fmt.Sprintf("/%s/route-%06d", s.Name, n), Class: s.Classes[n%classesPerService].Name,
		})
	}
	for n := range endpoints {
		s := &list[n%count]
		s.Endpoints = append(s.Endpoints, config.Endpoint{
			Name:    fmt.Sprintf("endpoint-%06d", n),
			Address: fmt.Sprintf("127.%d.%d.%d:8080", n>>16&255, n>>8&255, n&255),
			Zone:    fmt.Sprintf("zone-%02d", n%20), Slots: 4,
		})
	}
	for n := range teams {
		s := &list[n%count]
		s.Teams = append(s.Teams, fmt.Sprintf("team-%06d", n))
	}
	return list
}

func teamMemory() (slopeRow, error) {
	samples, err := bySize(teamSizes, func(size int) (float64, error) {
		return heapOf(func() any { return services(targetServices, 0, 0, size) }), nil
	})
	return slopeRow{name: "memory of teams in service descriptions", unit: "B/team", samples: samples, target: targetTeams}, err
}

func documentBytes() (slopeRow, error) {
	samples, err := bySize(serviceSizes, func(size int) (float64, error) {
		share := float64(size) / targetServices
		total := 0.0
		for _, s := range services(size, int(share*targetRoutes), int(share*targetEndpoints), int(share*targetTeams)) {
			total += float64(len(s.Canonical()))
		}
		return total, nil
	})
	return slopeRow{name: "stored documents", unit: "B/service", samples: samples, target: targetServices}, err
}

// newHead returns a head with one document per service, and the documents.
func newHead(count int) (rollout.Head, map[string][]byte, error) {
	documents := map[string][]byte{}
	change := rollout.Change{
		Operator: "bench", Operation: "first", Summary: "first",
		Versions: map[string]string{}, Documents: map[string][]byte{},
	}
	share := float64(count) / targetServices
	for _, s := range services(count, int(share*targetRoutes), int(share*targetEndpoints), int(share*targetTeams)) {
		change.Versions[s.Name] = ""
		change.Documents[s.Name] = s.Canonical()
	}
	commit, err := rollout.Head{}.Commit(change, time.Now())
	if err != nil {
		return rollout.Head{}, nil, err
	}
	for _, w := range commit.CreateOnly() {
		documents[w.Name] = w.Value
	}
	return commit.Head(), documents, nil
}

func headBytes() (slopeRow, error) {
	samples, err := bySize(serviceSizes, func(size int) (float64, error) {
		head, _, err := newHead(size)
		if err != nil {
			return 0, err
		}
		value, err := head.Encode()
		return float64(len(value)), err
	})
	return slopeRow{name: "value of config/head", unit: "B/service", samples: samples, target: targetServices}, err
}

// changeOne returns the head after a change to one service, and the new
// documents.
func changeOne(head rollout.Head) (rollout.Head, map[string][]byte, error) {
	name := head.Services()[0]
	s := services(1, 11, 31, 123)[0]
	s.Name = name
	commit, err := head.Commit(rollout.Change{
		Operator: "bench", Operation: "second", Base: head.Revision, Summary: "second",
		Versions:  map[string]string{name: head.Index[name].Name},
		Documents: map[string][]byte{name: s.Canonical()},
	}, time.Now())
	if err != nil {
		return rollout.Head{}, nil, err
	}
	documents := map[string][]byte{}
	for _, w := range commit.CreateOnly() {
		documents[w.Name] = w.Value
	}
	return commit.Head(), documents, nil
}

// holderWith returns a holder that has applied a configuration.
func holderWith(head rollout.Head, documents map[string][]byte) (*rollout.Holder, error) {
	holder := rollout.NewHolder()
	return holder, applyTo(holder, head, documents)
}

func applyTo(holder *rollout.Holder, head rollout.Head, documents map[string][]byte) error {
	candidate, err := holder.Stage(head)
	if err != nil {
		return err
	}
	return supplyAndApply(holder, candidate, documents)
}

func supplyAndApply(holder *rollout.Holder, candidate *rollout.Candidate, documents map[string][]byte) error {
	for _, ref := range candidate.MissingDocuments() {
		if err := candidate.AddDocument(ref.Name, documents[ref.Name]); err != nil {
			return err
		}
	}
	return holder.Apply(candidate)
}

func changeTime() (slopeRow, error) {
	samples, err := bySize(serviceSizes, func(size int) (float64, error) {
		head, documents, err := newHead(size)
		if err != nil {
			return 0, err
		}
		next, changed, err := changeOne(head)
		if err != nil {
			return 0, err
		}
		best := 0.0
		for range buildRuns {
			holder, err := holderWith(head, documents)
			if err != nil {
				return 0, err
			}
			delta, err := next.Since(holder.Revision())
			if err != nil {
				return 0, err
			}
			var failed error
			elapsed := shortestTime(1, func() { failed = applyDelta(holder, delta, changed) })
			if failed != nil {
				return 0, failed
			}
			if best == 0 || elapsed < best {
				best = elapsed
			}
		}
		return best, nil
	})
	return slopeRow{name: "processor time to stage and apply a change of one service", unit: "ns/service", samples: samples, target: targetServices}, err
}

// applyDelta applies a change the way a proxy does that receives it from a
// peer.
func applyDelta(holder *rollout.Holder, delta rollout.Delta, documents map[string][]byte) error {
	candidate, err := holder.StageDelta(delta)
	if err != nil {
		return err
	}
	return supplyAndApply(holder, candidate, documents)
}

func startupTime() (slopeRow, error) {
	samples, err := bySize(serviceSizes, func(size int) (float64, error) {
		head, documents, err := newHead(size)
		if err != nil {
			return 0, err
		}
		var failed error
		elapsed := shortestTime(buildRuns, func() { failed = decodeAll(head, documents) })
		return elapsed, failed
	})
	return slopeRow{name: "processor time of a fresh proxy to hold and decode everything", unit: "ns/service", samples: samples, target: targetServices}, err
}

func decodeAll(head rollout.Head, documents map[string][]byte) error {
	if _, err := holderWith(head, documents); err != nil {
		return err
	}
	for _, value := range documents {
		if _, err := config.DecodeStored(value, config.Digest(value)); err != nil {
			return err
		}
	}
	return nil
}
