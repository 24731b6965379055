package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

const (
	headName = "config/head"
	// maxValueBytes is the size limit of one platform object.
	maxValueBytes = 1 << 20
	// headEntries is the greatest number of audit entries in the head.
	headEntries = 64
	// segmentEntries is the number of audit entries that move to one segment.
	// Revisions 1 to 32 are segment 0.
	segmentEntries = 32
)

// indexEntry names the object that describes a service.
type indexEntry struct {
	Document string `json:"document"`
	Digest   string `json:"digest"`
}

// head is the value of config/head.
type head struct {
	Revision int64                 `json:"revision"`
	Services map[string]indexEntry `json:"services"`
	// Audit holds the newest entries, oldest first, one for each revision.
	Audit []AuditEntry `json:"audit"`

	version int64
}

func readHead(ctx context.Context, store Store) (head, error) {
	h := head{Services: map[string]indexEntry{}}
	object, err := store.Get(ctx, headName)
	if errors.Is(err, platform.ErrNotFound) {
		return h, nil
	}
	if err != nil {
		return h, err
	}
	if err := json.Unmarshal(object.Value, &h); err != nil {
		return h, &Problem{Code: CodeInternal, Message: "config/head is not readable: " + err.Error()}
	}
	h.version = object.Version
	return h, nil
}

// next returns the head that follows h with the entry and index changes applied,
// and the entries that must be archived before it is written.
func (h head) next(entry AuditEntry, set map[string]indexEntry, remove []string) (head, []AuditEntry) {
	n := head{Revision: entry.Revision, Services: map[string]indexEntry{}, version: h.version}
	for name, e := range h.Services {
		n.Services[name] = e
	}
	for name, e := range set {
		n.Services[name] = e
	}
	for _, name := range remove {
		delete(n.Services, name)
	}
	n.Audit = append(append([]AuditEntry{}, h.Audit...), entry)
	if len(n.Audit) <= headEntries {
		return n, nil
	}
	archived := n.Audit[:segmentEntries]
	n.Audit = n.Audit[segmentEntries:]
	return n, archived
}

func (h head) encode() ([]byte, error) {
	content, err := json.Marshal(h)
	if err != nil {
		return nil, eris.Wrap(err, "operator: cannot encode config/head")
	}
	if len(content) > maxValueBytes {
		return nil, invalid("plan.document",
			fmt.Sprintf("config/head would grow to %d bytes", len(content)),
			fmt.Sprintf("fewer services; the head holds at most %d bytes", maxValueBytes))
	}
	return content, nil
}

func segmentOf(revision int64) int64 { return (revision - 1) / segmentEntries }

func segmentName(segment int64) string { return fmt.Sprintf("audit/%010d", segment) }

// archive writes one segment. The entries of a segment never change, so a
// segment that another proxy wrote first must be equal.
func archive(ctx context.Context, store Store, entries []AuditEntry) error {
	content, err := json.Marshal(entries)
	if err != nil {
		return eris.Wrap(err, "operator: cannot encode an audit segment")
	}
	return create(ctx, store, segmentName(segmentOf(entries[0].Revision)), content)
}

var errExists = eris.New("operator: another object of that name exists")

// create writes an object that must not exist. An equal object counts as written.
func create(ctx context.Context, store Store, name string, content []byte) error {
	_, err := store.Put(ctx, name, 0, content)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	object, err := store.Get(ctx, name)
	if err != nil {
		return err
	}
	if !bytes.Equal(object.Value, content) {
		return eris.Wrap(errExists, name)
	}
	return nil
}

// readSegment returns the entries of a stored segment, oldest first.
func readSegment(ctx context.Context, store Store, segment int64) ([]AuditEntry, error) {
	object, err := store.Get(ctx, segmentName(segment))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, &Problem{Code: CodeInternal, Message: segmentName(segment) + " is missing"}
	}
	if err != nil {
		return nil, err
	}
	var entries []AuditEntry
	if err := json.Unmarshal(object.Value, &entries); err != nil {
		return nil, &Problem{Code: CodeInternal, Message: object.Name + " is not readable: " + err.Error()}
	}
	return entries, nil
}

// walkAudit visits the entries from before (exclusive) down to after (exclusive),
// newest first, until visit returns false.
func (h head) walkAudit(
	ctx context.Context, store Store, before, after int64, visit func(AuditEntry) bool,
) error {
	lowest := h.Revision + 1
	for i := len(h.Audit) - 1; i >= 0; i-- {
		e := h.Audit[i]
		lowest = e.Revision
		if e.Revision <= after || e.Revision < before && !visit(e) {
			return nil
		}
	}
	if lowest > before {
		lowest = before
	}
	for lowest > 1 && lowest-1 > after {
		entries, err := readSegment(ctx, store, segmentOf(lowest-1))
		if err != nil {
			return err
		}
		for i := len(entries) - 1; i >= 0; i-- {
			e := entries[i]
			if e.Revision <= after || e.Revision < before && !visit(e) {
				return nil
			}
		}
		lowest = segmentOf(lowest-1)*segmentEntries + 1
	}
	return nil
}
