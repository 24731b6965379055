package membership

// MaxUpdates is the most membership updates that one message carries besides
// the sender's own, in Updates and Page together.
const MaxUpdates = 8

// The topics of the peer protocol on which messages travel.
const (
	TopicPing  = "membership.ping"
	TopicAck   = "membership.ack"
	TopicLeave = "membership.leave"
)

// Kind is the purpose of a message.
type Kind uint8

// The message kinds.
const (
	KindPing Kind = iota + 1
	KindAck
	// KindPingRequest requests that the receiver pings Target and relays its ack.
	KindPingRequest
	KindLeave
)

// Message is the wire form of every membership message.
type Message struct {
	Kind     Kind   `msgpack:"k"`
	Sequence uint64 `msgpack:"q"`
	Sender   Update `msgpack:"s"`
	// Target is the member that a ping is meant for, or whose liveness an ack
	// confirms. It is zero in a ping to an address whose incarnation is not known.
	Target        Incarnation `msgpack:"t"`
	TargetAddress string      `msgpack:"a,omitempty"`
	// Relayed marks an ack that another member forwards.
	Relayed bool `msgpack:"r,omitempty"`
	// ConfigRevision is the configuration revision that the sender holds.
	ConfigRevision int64 `msgpack:"v,omitempty"`
	// ConfirmedAgeMillis is the time in milliseconds since the platform last
	// confirmed the configuration, as known to the sender; negative if unknown.
	ConfirmedAgeMillis int64 `msgpack:"f"`
	// Joining requests a full page of the member table in the ack.
	Joining bool `msgpack:"j,omitempty"`
	// Cursor, in a ping, requests the members that follow it in the order of
	// incarnations. In an ack it is the last member of the page, or zero at the
	// end of the table.
	Cursor Incarnation `msgpack:"c"`
	// Updates are recent changes, which the receiver forwards to others.
	Updates []Update `msgpack:"u,omitempty"`
	// Page is a page of the member table of the sender.
	Page []Update `msgpack:"p,omitempty"`
}

// Topic returns the topic on which the message travels.
func (m Message) Topic() string {
	switch m.Kind {
	case KindAck:
		return TopicAck
	case KindLeave:
		return TopicLeave
	default:
		return TopicPing
	}
}

// Outgoing is a message to send. The protocol tolerates its loss.
type Outgoing struct {
	address string
	message Message
}

// Address returns the IP address and port to send to.
func (o Outgoing) Address() string { return o.address }

// Message returns the message to send.
func (o Outgoing) Message() Message { return o.message }
