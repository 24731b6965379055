package main

import (
	"sync"
	"time"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

type listVersion struct {
	list platform.VMList
	from time.Time // when the list became current
}

// inventory stores every version of the VM list, so that an outdated list can be
// returned. It is safe for concurrent use.
type inventory struct {
	mu      sync.Mutex
	history []listVersion
}

func newInventory() *inventory {
	return &inventory{history: []listVersion{{}}}
}

func (i *inventory) set(vms []platform.VM, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := i.history[len(i.history)-1]
	next := platform.VMList{Generation: last.list.Generation + 1, VMs: vms}
	i.history = append(i.history, listVersion{list: next, from: now})
}

// at returns the list that was current at the given time.
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
