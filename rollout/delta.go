package rollout

import (
	"maps"

	"github.com/rotisserie/eris"
)

// ErrDelta means that a delta does not lead from the held head to the one it
// describes. The process then asks for the whole head.
var ErrDelta = eris.New("rollout: the delta does not fit")

// Delta is what a peer sends to a process that holds revision Base. Base 0
// carries the whole head.
type Delta struct {
	Base     int64                  `msgpack:"base"`
	Revision int64                  `msgpack:"revision"`
	Changed  map[string]DocumentRef `msgpack:"changed"`
	Removed  []string               `msgpack:"removed"`
	// Audit holds the entries after Base; OldestAudit is the least revision
	// that the new head has an entry for.
	Audit       []AuditEntry `msgpack:"audit"`
	OldestAudit int64        `msgpack:"oldestAudit"`
	// Digest is that of the new head.
	Digest string `msgpack:"digest"`
}

// Since returns the changes since base. It returns the whole head if the
// removals since base are not all in the head's audit entries.
func (h Head) Since(base int64) (Delta, error) {
	sum, err := h.Digest()
	if err != nil {
		return Delta{}, err
	}
	return h.since(base, sum), nil
}

// since is Since with the digest of the head at hand.
func (h Head) since(base int64, sum string) Delta {
	if base < h.OldestAudit()-1 || base > h.Revision {
		base = 0
	}
	d := Delta{
		Base:        base,
		Revision:    h.Revision,
		Changed:     map[string]DocumentRef{},
		OldestAudit: h.OldestAudit(),
		Digest:      sum,
	}
	for service, ref := range h.Index {
		if ref.Revision > base {
			d.Changed[service] = ref
		}
	}
	removed := map[string]bool{}
	for _, e := range h.Audit {
		if e.Revision <= base {
			continue
		}
		d.Audit = append(d.Audit, e)
		for _, service := range e.Removed {
			removed[service] = true
		}
	}
	for service := range removed {
		if _, present := h.Index[service]; !present && base > 0 {
			d.Removed = append(d.Removed, service)
		}
	}
	return d
}

// Apply returns the head that the delta leads to. ErrDelta means that the
// result does not match the delta's digest or base.
func (h Head) Apply(d Delta) (Head, error) {
	if d.Base != 0 && d.Base != h.Revision {
		return Head{}, eris.Wrapf(ErrDelta, "base %d, held %d", d.Base, h.Revision)
	}
	next := Head{Revision: d.Revision, Index: map[string]DocumentRef{}}
	if d.Base != 0 {
		next.Index = maps.Clone(h.Index)
		for _, e := range h.Audit {
			if e.Revision >= d.OldestAudit {
				next.Audit = append(next.Audit, e)
			}
		}
	}
	for _, service := range d.Removed {
		delete(next.Index, service)
	}
	maps.Copy(next.Index, d.Changed)
	next.Audit = append(next.Audit, d.Audit...)
	sum, err := next.Digest()
	if err != nil {
		return Head{}, eris.Wrapf(ErrDelta, "%v", err)
	}
	if sum != d.Digest {
		return Head{}, eris.Wrapf(ErrDelta, "revision %d: digest %s, want %s", d.Revision, sum, d.Digest)
	}
	return next, nil
}
