package gateway

import "time"

// storeContact is the contact of this member with the store for one kind of objects.
type storeContact struct {
	confirmed    confirmation // by calls of this member
	failingSince instant      // since when its calls fail, or 0
}

// storeAnswered records a successful call to the store and what it confirms. Only kinds whose
// changes have to be in force in time count as contact.
func (f *fleet) storeAnswered(kind Kind, confirmed confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind < confirmedKinds {
		f.contacts[kind].confirmed.extend(confirmed)
		f.contacts[kind].failingSince = 0
	}
}

// storeFailed records a failed call to the store.
func (f *fleet) storeFailed(kind Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind < confirmedKinds && f.contacts[kind].failingSince == 0 {
		f.contacts[kind].failingSince = bootTime()
	}
}

// ownConfirmation returns what calls of this member have confirmed.
func (f *fleet) ownConfirmation(kind Kind) confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contacts[kind].confirmed
}

// storeAge returns the time since which this member has not read a kind of objects. It is at
// least staleAfter if one was not read yet or calls fail for storeFailureGrace.
func (f *fleet) storeAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownStoreAge(bootTime())
}

func (f *fleet) ownStoreAge(now instant) time.Duration {
	var oldest time.Duration
	for _, c := range f.contacts {
		age := now.since(c.confirmed.at)
		switch {
		case c.confirmed.at == 0:
			age = now.since(f.start) + staleAfter
		case c.failingSince != 0 && now.since(c.failingSince) >= storeFailureGrace:
			age = max(staleAfter, age)
		}
		oldest = max(oldest, age)
	}
	return oldest
}
