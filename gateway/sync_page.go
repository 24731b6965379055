package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

const (
	// maxSyncBytes bounds the endpoints of a reply to a sync and of a broadcast, so that they fit into
	// a frame beside the members. The rest of a reply follows in pages, that of a broadcast in the
	// next one.
	maxSyncBytes = peer.MaxFrameBytes / 2
	// syncPageBytes bounds a page: it takes 0.2 s over a link of 10 Mbit/s, within syncTimeout.
	syncPageBytes = 256 << 10
	// encodedEndpointBytes bounds what an encoded endpoint takes beside its texts.
	encodedEndpointBytes = 80
	// sortedStatesAge is the time for which a member that sends pages keeps the order of its states.
	sortedStatesAge = time.Second
)

// syncPageRequest requests the states of endpoints after a position in the order of their revisions
// and names.
type syncPageRequest struct {
	After   Revision
	AfterID string
}

// syncPage is the reply to a syncPageRequest.
type syncPage struct {
	Endpoints []Endpoint
	// More is set if others follow, Complete if the sender has all endpoints and a configuration.
	More     bool
	Complete bool
}

// encodedBytes returns a bound of the size of an encoded endpoint.
func (e *Endpoint) encodedBytes() int {
	return len(e.ID) + len(e.Service) + len(e.Address) + len(e.Zone) + encodedEndpointBytes
}

// prefix returns the number of endpoints from the first on, one at least, that fit into a size.
func prefix(list []Endpoint, bytes int) int {
	for i := range list {
		if bytes -= list[i].encodedBytes(); bytes < 0 {
			return max(1, i)
		}
	}
	return len(list)
}

func comparePositions(a, b Endpoint) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
}

// sortedStates is the order of all states at a time.
type sortedStates struct {
	list []Endpoint
	at   instant
}

// page returns the states after a position, as many as fit into a page, and whether others
// follow. The order is kept for some time, because sorting all states for each page would cost
// more than sending them; what changes meanwhile gets a higher revision.
func (r *registry) page(after Revision, id string, now instant) (list []Endpoint, more bool) {
	if now.since(r.sorted.at) >= sortedStatesAge {
		r.sortStates(now)
	}
	position := Endpoint{Revision: after, ID: id}
	find := func() []Endpoint {
		i, found := slices.BinarySearchFunc(r.sorted.list, position, comparePositions)
		if found {
			i++
		}
		return r.sorted.list[i:]
	}
	rest := find()
	if len(rest) == 0 && r.sorted.at != now {
		r.sortStates(now)
		rest = find()
	}
	n := prefix(rest, syncPageBytes)
	return slices.Clone(rest[:n]), n < len(rest)
}

func (r *registry) sortStates(now instant) {
	r.sorted = sortedStates{list: r.changedAfter(0), at: now}
	slices.SortFunc(r.sorted.list, comparePositions)
}

// dropOrder frees the order of the states if no page was sent lately.
func (r *registry) dropOrder(now instant) {
	if now.since(r.sorted.at) >= sortedStatesAge {
		r.sorted = sortedStates{}
	}
}

// cut shortens a reply whose endpoints would not fit into a frame to the first ones in
// order.
func (r *syncReply) cut() {
	n := prefix(r.Endpoints, maxSyncBytes)
	if n == len(r.Endpoints) {
		return
	}
	slices.SortFunc(r.Endpoints, comparePositions)
	r.Endpoints = r.Endpoints[:prefix(r.Endpoints, maxSyncBytes)]
	r.Complete = false
}

func (g *Gateway) handleSyncPage(payload []byte) ([]byte, error) {
	var request syncPageRequest
	if err := decode(payload, &request); err != nil {
		return nil, err
	}
	g.mu.Lock()
	page := &syncPage{Complete: g.configuration != nil && g.endpointsLoaded.Load()}
	page.Endpoints, page.More = g.registry.page(request.After, request.AfterID, bootTime())
	g.mu.Unlock()
	return encode(page), nil
}

// requestPages requests the states that a reply was too short for, and adds them to it. It does nothing
// while this member reads pages of another one.
func (g *Gateway) requestPages(from string, reply *syncReply) error {
	if reply.Complete || len(reply.Endpoints) == 0 || !g.readingPages.CompareAndSwap(false, true) {
		return nil
	}
	defer g.readingPages.Store(false)
	for {
		last := reply.Endpoints[len(reply.Endpoints)-1]
		page, err := g.requestPage(from, &syncPageRequest{After: last.Revision, AfterID: last.ID})
		if err != nil {
			return err
		}
		reply.Endpoints = append(reply.Endpoints, page.Endpoints...)
		if !page.More || len(page.Endpoints) == 0 {
			reply.Complete = page.Complete
			return nil
		}
	}
}

func (g *Gateway) requestPage(from string, request *syncPageRequest) (*syncPage, error) {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	payload, err := g.transport.Request(ctx, from, "", peer.TopicHubSyncPage, encode(request))
	if err != nil {
		return nil, err
	}
	var page syncPage
	return &page, decode(payload, &page)
}
