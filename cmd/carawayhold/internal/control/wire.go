package control

import "github.com/carawayhold/carawayhold/rollout"

// drainingMark states that the process of that generation at an endpoint's
// address is draining.
type drainingMark struct {
	Address    string `msgpack:"a"`
	Generation int64  `msgpack:"g"`
}

// syncRequest is the payload of state.sync: the versions and marks that the
// sender holds.
type syncRequest struct {
	Revision     int64 `msgpack:"r"`
	StoreVersion int64 `msgpack:"v"`
	// Marks are those of the sender, so that a mark whose own message was lost
	// still reaches the reader.
	Marks []drainingMark `msgpack:"m,omitempty"`
}

// syncReply holds what the receiver has beyond the state in the request. Ages
// are in milliseconds since the platform read was sent, negative if there was
// none.
type syncReply struct {
	Revision           int64          `msgpack:"r"`
	ConfirmedAgeMillis int64          `msgpack:"c"`
	StoreVersion       int64          `msgpack:"v"`
	LedgersAgeMillis   int64          `msgpack:"l"`
	Ledgers            []ledgerCopy   `msgpack:"d,omitempty"`
	Marks              []drainingMark `msgpack:"m,omitempty"`
}

type ledgerCopy struct {
	Service string `msgpack:"s"`
	Version int64  `msgpack:"v"`
	Value   []byte `msgpack:"d"`
}

// fetchRequest is the payload of config.fetch. Without names it requests the
// changes since revision Base, with names the documents of these names.
type fetchRequest struct {
	Base  int64    `msgpack:"b"`
	Names []string `msgpack:"n,omitempty"`
}

type fetchReply struct {
	Delta     *rollout.Delta    `msgpack:"d,omitempty"`
	Documents map[string][]byte `msgpack:"v,omitempty"`
}
