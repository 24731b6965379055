package rollout

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// HeadName is the name of the platform object that holds the head.
const HeadName = "config/head"

// ErrHead means that a head is malformed or inconsistent.
var ErrHead = eris.New("rollout: invalid head")

// DocumentRef refers to a document by its name and the digest of its value.
type DocumentRef struct {
	Name   string `json:"name" msgpack:"name"`
	Digest string `json:"digest" msgpack:"digest"`
	// Revision is the head revision that introduced the document.
	Revision int64 `json:"revision" msgpack:"revision"`
}

// AuditEntry records one committed change.
type AuditEntry struct {
	Revision  int64  `json:"revision" msgpack:"revision"`
	Operator  string `json:"operator" msgpack:"operator"`
	Operation string `json:"operation" msgpack:"operation"`
	// Base is the revision that the change was planned against.
	Base int64 `json:"base" msgpack:"base"`
	// UnixMillis is the time of the commit by the committing process's clock.
	UnixMillis int64    `json:"unixMillis" msgpack:"unixMillis"`
	Summary    string   `json:"summary" msgpack:"summary"`
	Changed    []string `json:"changed,omitempty" msgpack:"changed,omitempty"`
	Removed    []string `json:"removed,omitempty" msgpack:"removed,omitempty"`
}

// Time returns UnixMillis as a time.
func (e AuditEntry) Time() time.Time { return time.UnixMilli(e.UnixMillis) }

// Head is the value of config/head.
type Head struct {
	// Revision is incremented by every change; 0 means no configuration.
	Revision int64 `json:"revision" msgpack:"revision"`
	// Index maps service names to their documents.
	Index map[string]DocumentRef `json:"index" msgpack:"index"`
	// Audit holds the entries of the newest revisions, oldest first.
	Audit []AuditEntry `json:"audit" msgpack:"audit"`
}

// DecodeHead reads a value written by Encode, or returns ErrHead.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, eris.Wrapf(ErrHead, "%v", err)
	}
	if err := h.validate(); err != nil {
		return Head{}, err
	}
	return h, nil
}

// Encode returns the value to store. Equal heads have equal values.
func (h Head) Encode() ([]byte, error) {
	if err := h.validate(); err != nil {
		return nil, err
	}
	value, err := json.Marshal(h)
	if err != nil {
		return nil, eris.Wrap(err, "rollout: cannot encode the head")
	}
	return value, nil
}

// Digest returns the digest of the encoded head.
func (h Head) Digest() (string, error) {
	value, err := h.Encode()
	if err != nil {
		return "", err
	}
	return Digest(value), nil
}

// Operation returns the audit entry of an operation id if the head holds it.
func (h Head) Operation(operation string) (AuditEntry, bool) {
	return findOperation(h.Audit, operation)
}

// OldestAudit returns the lowest revision with an audit entry in the head, or the
// revision after the head's if it has no entries.
func (h Head) OldestAudit() int64 {
	if len(h.Audit) == 0 {
		return h.Revision + 1
	}
	return h.Audit[0].Revision
}

// Services returns the names of the configured services, sorted.
func (h Head) Services() []string { return slices.Sorted(maps.Keys(h.Index)) }

func (h Head) validate() error {
	if h.Revision < 0 {
		return eris.Wrapf(ErrHead, "revision: %d, want 0 or more", h.Revision)
	}
	for service, ref := range h.Index {
		if ref.Name == "" || ref.Digest == "" || ref.Revision < 1 || ref.Revision > h.Revision {
			return eris.Wrapf(ErrHead, "index: %s: want a name, a digest and a revision from 1 to %d", service, h.Revision)
		}
	}
	for i, e := range h.Audit {
		if want := h.Revision - int64(len(h.Audit)-1-i); e.Revision != want {
			return eris.Wrapf(ErrHead, "audit: entry %d has revision %d, want %d", i, e.Revision, want)
		}
	}
	return nil
}

// Digest returns the digest of a document's value: SHA-256 in unpadded
// URL-safe base64.
func Digest(value []byte) string {
	sum := sha256.Sum256(value)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// DocumentName returns the name of the platform object for a service's document
// that an operation introduces with the given revision.
func DocumentName(service string, revision int64, operation string) string {
	return "config/doc/" + service + "/" + strconv.FormatInt(revision, 10) + "-" + operation
}

func findOperation(entries []AuditEntry, operation string) (AuditEntry, bool) {
	i := slices.IndexFunc(entries, func(e AuditEntry) bool { return e.Operation == operation })
	if i < 0 {
		return AuditEntry{}, false
	}
	return entries[i], true
}
