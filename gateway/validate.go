package gateway

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode"

	"github.com/rotisserie/eris"
)

const (
	// maxNameBytes bounds names of endpoints, services and zones: all states of the endpoints
	// together have to fit a message between members.
	maxNameBytes = 253
	// maxSlots exceeds what one process serves concurrently; sums over a service do not
	// overflow.
	maxSlots = 1 << 20
)

// ErrInvalidRecord means that a record names no endpoint or member to connect to. Anyone may
// write to the store, and members of an earlier release pass on what they read there.
var ErrInvalidRecord = eris.New("gateway: invalid record")

func invalidRecord(field string, value any) error {
	return eris.Wrapf(ErrInvalidRecord, "%s %.*q", field, maxNameBytes, fmt.Sprint(value))
}

// Validate returns an error that wraps [ErrInvalidRecord] if the state of an endpoint that is
// registered cannot be used. The state of a removed endpoint only needs a name.
func (e *Endpoint) Validate() error {
	switch {
	case !isToken(e.ID):
		// The name is sent in a header field.
		return invalidRecord("name", e.ID)
	case e.Deregistered:
		return nil
	case !isAddress(e.Address):
		return invalidRecord("address", e.Address)
	case !isText(e.Service) || e.Service == "":
		return invalidRecord("service", e.Service)
	case !isText(e.Zone):
		return invalidRecord("zone", e.Zone)
	case e.Slots <= 0 || e.Slots > maxSlots:
		return invalidRecord("slots", e.Slots)
	case e.StartMillis < 0:
		return invalidRecord("start", e.StartMillis)
	}
	return nil
}

// Validate returns an error that wraps [ErrInvalidRecord] if the member cannot be used.
func (m *Member) Validate() error {
	switch {
	case !isAddress(m.Address):
		return invalidRecord("address", m.Address)
	case !isText(m.Zone):
		return invalidRecord("zone", m.Zone)
	case m.CPUShare < 0:
		return invalidRecord("share", m.CPUShare)
	case m.LinkMbit < 0:
		return invalidRecord("link rate", m.LinkMbit)
	}
	return nil
}

// isAddress reports whether the text is the IP address of one machine and a port.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return false
	}
	ip := address.Addr()
	broadcast := netip.AddrFrom4([4]byte{255, 255, 255, 255})
	return address.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast
}

// isToken reports whether the text consists of visible ASCII characters.
func isToken(text string) bool {
	hidden := func(c rune) bool { return c <= ' ' || c >= unicode.MaxASCII }
	return text != "" && isText(text) && !strings.ContainsFunc(text, hidden)
}

// isText reports whether the text has no control characters and a bounded length.
func isText(text string) bool {
	return len(text) <= maxNameBytes && !strings.ContainsFunc(text, unicode.IsControl)
}
