// Package platform is a client of the platform's object API: versioned objects,
// conditional updates, watches, and a list of VMs that may be out of date.
package platform

import "github.com/rotisserie/eris"

// Sentinel errors of the client.
var (
	// ErrConflict means that the object does not have the expected version.
	ErrConflict = eris.New("platform: version conflict")
	// ErrNotFound means that there is no object of that name.
	ErrNotFound = eris.New("platform: object not found")
	// ErrUnavailable means that the platform gave no valid response. A write may have
	// taken effect.
	ErrUnavailable = eris.New("platform: unavailable")
)

// Object is a named value with a version. Version is 0 for an object that does not
// exist.
type Object struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Listing is the result of a list or watch call.
type Listing struct {
	// StoreVersion is the version of the store, to be passed as after to the next call.
	StoreVersion int64    `json:"storeVersion"`
	Objects      []Object `json:"objects"`
}

// VMState is the lifecycle state of a VM in the platform's list.
type VMState string

// The lifecycle states of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Role    string  `json:"role"`
	State   VMState `json:"state"`
	// Generation increases whenever the VM at this address is replaced or restarted.
	Generation int64 `json:"generation"`
}

// VMList is the platform's list of VMs. Generation is the generation of the list itself.
type VMList struct {
	Generation int64 `json:"generation"`
	VMs        []VM  `json:"vms"`
}
