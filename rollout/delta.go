package rollout

import (
	"maps"

	"github.com/rotisserie/eris"
)

// ErrDelta means that applying a delta to a head did not give the expected head.
// The process then requests the whole head.
var ErrDelta = eris.New("rollout: delta does not apply to this head")

// Delta is the difference between the head of revision Base and a newer head,
// for a peer that has revision Base. With Base 0 it holds the whole head.
type Delta struct {
	Base     int64                  `msgpack:"base"`
	Revision int64                  `msgpack:"revision"`
	Changed  map[string]DocumentRef `msgpack:"changed"`
	Removed  []string               `msgpack:"removed"`
	// Audit holds the audit entries after Base.
	Audit []AuditEntry `msgpack:"audit"`
	// OldestAudit is the lowest revision with an audit entry in the new head.
	OldestAudit int64 `msgpack:"oldestAudit"`
	// Digest is the digest of the new head.
	Digest string `msgpack:"digest"`
}

// Since returns the delta from revision base. It returns the whole head if the
// head's audit entries do not go back to base, because removed services are only
// known from them.
func (h Head) Since(base int64) (Delta, error) {
	sum, err := h.Digest()
	if err != nil {
		return Delta{}, err
	}
	return h.since(base, sum), nil
}

// since is Since for a head whose digest is known.
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

// Apply applies a delta to the head and returns the new head. ErrDelta means that
// the delta has another base, or that the result does not match its digest.
func (h Head) Apply(d Delta) (Head, error) {
	if d.Base != 0 && d.Base != h.Revision {
		return Head{}, eris.Wrapf(ErrDelta, "delta has base %d, head has revision %d", d.Base, h.Revision)
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
