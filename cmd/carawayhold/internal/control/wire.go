package control

import "github.com/carawayhold/carawayhold/rollout"

// Mark states that the process of that generation at an endpoint's address is
// leaving.
type Mark struct {
	Address    string `msgpack:"a"`
	Generation int64  `msgpack:"g"`
}

// syncCall is the payload of state.sync: what the sender holds.
type syncCall struct {
	Revision     int64 `msgpack:"r"`
	StoreVersion int64 `msgpack:"v"`
	// Marks are those of the sender, so that a mark whose message was lost still
	// reaches the reader.
	Marks []Mark `msgpack:"m,omitempty"`
}

// syncReply is what the receiver holds beyond that. Ages are in milliseconds
// since the platform read was sent, negative if there was none.
type syncReply struct {
	Revision           int64        `msgpack:"r"`
	ConfirmedAgeMillis int64        `msgpack:"c"`
	StoreVersion       int64        `msgpack:"v"`
	LedgersAgeMillis   int64        `msgpack:"l"`
	Ledgers            []ledgerCopy `msgpack:"d,omitempty"`
	Marks              []Mark       `msgpack:"m,omitempty"`
}

type ledgerCopy struct {
	Service string `msgpack:"s"`
	Version int64  `msgpack:"v"`
	Value   []byte `msgpack:"d"`
}

// fetchCall is the payload of config.fetch. Without names it asks for the
// changes since Base, with names for documents.
type fetchCall struct {
	Base  int64    `msgpack:"b"`
	Names []string `msgpack:"n,omitempty"`
}

type fetchReply struct {
	Delta     *rollout.Delta    `msgpack:"d,omitempty"`
	Documents map[string][]byte `msgpack:"v,omitempty"`
}
