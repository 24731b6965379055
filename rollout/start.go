package rollout

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// startWait is how long a starting process waits for the answers of more than
// half of the members it knows before it takes what it was offered. It is
// twice the call timeout of the platform client, so that the platform is heard
// first when it works.
const startWait = 4 * time.Second

// PeerReport is what a reachable peer says that it holds.
type PeerReport struct {
	Incarnation string
	Revision    int64
}

// StartSource says where a starting process takes its configuration from.
type StartSource string

// The sources.
const (
	StartWait         StartSource = "wait"
	StartFromPlatform StartSource = "platform"
	StartFromPeer     StartSource = "peer"
)

// StartInput is what a starting process knows.
type StartInput struct {
	Now     time.Time
	Started time.Time
	// PlatformRevision is the revision of the head that the platform returned,
	// or negative while it has returned none.
	PlatformRevision int64
	// Reports holds the answers of reachable peers; Members is the number of
	// members known, without this process.
	Reports []PeerReport
	Members int
}

// ChooseStart returns where a process without a configuration should take one
// from, and the incarnation of the peer for StartFromPeer. The platform is
// always preferred, because its head is the newest by definition.
func ChooseStart(in StartInput) (StartSource, string) {
	if in.PlatformRevision > 0 {
		return StartFromPlatform, ""
	}
	newest := newestReport(in.Reports)
	if newest.Revision <= 0 {
		return StartWait, ""
	}
	// One early answer may come from a peer that lags; the newest of a majority
	// is at least as new as what a majority has applied.
	majority := 2*len(in.Reports) > in.Members
	if !majority && in.Now.Sub(in.Started) < startWait {
		return StartWait, ""
	}
	return StartFromPeer, newest.Incarnation
}

func newestReport(reports []PeerReport) PeerReport {
	if len(reports) == 0 {
		return PeerReport{}
	}
	return slices.MaxFunc(reports, func(a, b PeerReport) int {
		// Ties go to the least incarnation, so that the order does not matter.
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(b.Incarnation, a.Incarnation))
	})
}

func formatRevision(revision int64) string { return strconv.FormatInt(revision, 10) }
