package rollout

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// maxStartWait is how long a starting process waits for the responses of more
// than half of the known members before it takes the newest configuration that a
// peer has reported. It is twice the call timeout of the platform client, so that
// a working platform responds first.
const maxStartWait = 4 * time.Second

// PeerReport is the revision that a reachable peer reports to have applied.
type PeerReport struct {
	Incarnation string
	Revision    int64
}

// StartSource is where a starting process gets its configuration from.
type StartSource string

// The sources. StartWait means that the process has to wait for more responses.
const (
	StartWait         StartSource = "wait"
	StartFromPlatform StartSource = "platform"
	StartFromPeer     StartSource = "peer"
)

// StartInput is the information on which ChooseStart decides.
type StartInput struct {
	Now     time.Time
	Started time.Time
	// PlatformRevision is the revision of the head that the platform returned,
	// or negative if it has not returned one yet.
	PlatformRevision int64
	// Reports holds the responses of reachable peers.
	Reports []PeerReport
	// Members is the number of known members without this process.
	Members int
}

// ChooseStart returns where a process without a configuration should get one
// from, and the incarnation of the peer for StartFromPeer. It prefers the
// platform, because a change takes effect when the platform stores its head.
func ChooseStart(in StartInput) (StartSource, string) {
	if in.PlatformRevision > 0 {
		return StartFromPlatform, ""
	}
	newest := newestReport(in.Reports)
	if newest.Revision <= 0 {
		return StartWait, ""
	}
	// A single early response may come from a peer that lags behind. The newest
	// revision of a majority is at least as new as any that a majority has applied.
	majority := 2*len(in.Reports) > in.Members
	if !majority && in.Now.Sub(in.Started) < maxStartWait {
		return StartWait, ""
	}
	return StartFromPeer, newest.Incarnation
}

func newestReport(reports []PeerReport) PeerReport {
	if len(reports) == 0 {
		return PeerReport{}
	}
	return slices.MaxFunc(reports, func(a, b PeerReport) int {
		// The lowest incarnation breaks ties, so that the result does not depend on
		// the order of the reports.
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(b.Incarnation, a.Incarnation))
	})
}

func formatRevision(revision int64) string { return strconv.FormatInt(revision, 10) }
