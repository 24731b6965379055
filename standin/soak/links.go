package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/carawayhold/carawayhold/standin/deployment"
)

// The requirement of the platform on proxies without links to the endpoints: from
// stableWindow after the cut began, first tries there are served at least minCutShare times
// as often as those at the other proxies, or no more than cutSlack and one in cutRatio of
// all first tries fail there.
const (
	minCutShare = 2.0 / 3
	cutSlack    = 10
	cutRatio    = 50
	// minCut and maxCut bound the duration of a cut.
	minCut = 4 * time.Second
	maxCut = 7 * time.Second
)

// try is a request of a caller.
type try struct {
	at     time.Time
	proxy  int
	served bool
}

// linkCut is a time in which proxies had no links to the endpoints.
type linkCut struct {
	interval

	proxies []int
	state   deployment.LinkState
}

func (s *scenario) recordTry(t try) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries = append(s.tries, t)
}

// loseLinks cuts some, most or a zone of the proxies from all endpoints, one cut after
// another, until the end of the load.
func (s *scenario) loseLinks(until time.Time) {
	for time.Sleep(time.Duration(s.randomIndex(1500)) * time.Millisecond); time.Until(until) > minCut; {
		c := linkCut{
			proxies: s.proxiesToCut(),
			state:   []deployment.LinkState{deployment.LinksHang, deployment.LinksReset, deployment.LinksRefuse}[s.randomIndex(3)],
		}
		c.from = time.Now()
		s.setLinks(c.proxies, c.state)
		length := minCut + time.Duration(s.randomIndex(int((maxCut-minCut)/time.Millisecond)))*time.Millisecond
		time.Sleep(min(length, time.Until(until)))
		s.setLinks(c.proxies, deployment.LinksUp)
		c.to = time.Now()
		s.mu.Lock()
		s.cuts = append(s.cuts, c)
		s.mu.Unlock()
		time.Sleep(time.Duration(s.randomIndex(1000)) * time.Millisecond)
	}
}

func (s *scenario) proxiesToCut() []int {
	var list []int
	switch s.randomIndex(3) {
	case 0:
		list = append(list, s.randomIndex(len(s.proxies)))
	case 1:
		for i := range len(s.proxies) * 2 / 3 {
			list = append(list, i)
		}
	default:
		zone := s.randomIndex(zones)
		for i := range s.proxies {
			if i%zones == zone {
				list = append(list, i)
			}
		}
	}
	return list
}

func (s *scenario) setLinks(proxies []int, state deployment.LinkState) {
	for _, i := range proxies {
		file := s.proxies[i].linksFile
		// The process must not read a part.
		err := os.WriteFile(file+".new", []byte(strconv.Itoa(int(state))), 0o644)
		if err == nil {
			err = os.Rename(file+".new", file)
		}
		if err != nil {
			s.recordViolation("cannot change links: " + err.Error())
		}
	}
}

// linkedProxyRuns reports whether any proxy has links at a time in a cut and is neither
// frozen nor restarting. Otherwise there are no others to compare with, nor a relay.
func (s *scenario) linkedProxyRuns(c linkCut, at time.Time) bool {
	for i, p := range s.proxies {
		if !slices.Contains(c.proxies, i) && p.runsAt(at) {
			return true
		}
	}
	return false
}

// checkCuts compares the first tries at proxies without links with those at the others.
func (s *scenario) checkCuts() {
	for _, c := range s.cuts {
		var served, sent [2]int
		for _, t := range s.tries {
			if t.at.Before(c.from.Add(stableWindow)) || t.at.After(c.to) || s.proxies[t.proxy].excusedAt(t.at) || !s.linkedProxyRuns(c, t.at) {
				continue
			}
			side := 0
			if slices.Contains(c.proxies, t.proxy) {
				side = 1
			}
			sent[side]++
			if t.served {
				served[side]++
			}
		}
		failed := sent[1] - served[1]
		if failed <= cutSlack+(sent[0]+sent[1])/cutRatio || sent[0] == 0 {
			continue
		}
		others := float64(served[0]) / float64(sent[0])
		if float64(served[1]) < minCutShare*others*float64(sent[1]) {
			s.recordViolation(fmt.Sprintf("proxies %v without links (state %d) from %s served %d of %d first tries, the others %d of %d",
				c.proxies, c.state, c.from.Format(time.StampMilli), served[1], sent[1], served[0], sent[0]))
		}
	}
}
