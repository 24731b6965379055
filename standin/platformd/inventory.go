package main

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

type datedList struct {
	list platform.VMList
	from time.Time
}

// inventory holds the list of VMs and its history, so that an old list can be
// given out.
type inventory struct {
	mu      sync.Mutex
	history []datedList
}

func newInventory() *inventory {
	return &inventory{history: []datedList{{}}}
}

func (i *inventory) set(vms []platform.VM, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := i.history[len(i.history)-1]
	next := platform.VMList{Generation: last.list.Generation + 1, VMs: vms}
	i.history = append(i.history, datedList{list: next, from: now})
}

// at returns the list that was in force at the given time.
func (i *inventory) at(moment time.Time) platform.VMList {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n := len(i.history) - 1; n > 0; n-- {
		if !i.history[n].from.After(moment) {
			return i.history[n].list
		}
	}
	return i.history[0].list
}
