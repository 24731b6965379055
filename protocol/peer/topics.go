package peer

import "github.com/carawayhold/carawayhold/membership"

// The topics of messages between proxies. Others are counted and dropped.
const (
	TopicMembershipPing  = membership.TopicPing
	TopicMembershipAck   = membership.TopicAck
	TopicMembershipLeave = membership.TopicLeave
	TopicEvidenceReport  = "evidence.report"
	TopicLoadReport      = "load.report"
	TopicDrainingMark    = "leaving.mark"
	TopicStateChanged    = "state.changed"
	TopicConfigFetch     = "config.fetch"
	TopicStateSync       = "state.sync"
	TopicOnceClaim       = "once.claim"
	TopicOnceSettle      = "once.settle"
	TopicOnceQuery       = "once.query"
	TopicHubState        = "hub.state"
	TopicHubSync         = "hub.sync"
	TopicHubSyncPage     = "hub.sync-page"
	TopicMemberRegister  = "member.register"
	TopicRelayOffer      = "relay.offer"
	TopicPlaceRequest    = "place.ask"
	TopicPlaceDecision   = "place.decision"
	TopicPlaceEnd        = "place.end"
	TopicPlaceInFlight   = "place.held"
	TopicPlaceShare      = "place.share"
	TopicPlaceEndLimited = "place.end-limited"
	TopicPlaceLimits     = "place.limits"
	TopicPlaceReturn     = "place.return"
	// TopicEndpointDeparture is about endpoints that leave, TopicEndpointRest about those
	// that want no requests from a proxy for some time.
	TopicEndpointDeparture = "endpoint.departure"
	TopicEndpointRest      = "endpoint.rest"
)

func knownTopic(topic string) bool {
	switch topic {
	case TopicMembershipPing, TopicMembershipAck, TopicMembershipLeave,
		TopicEvidenceReport, TopicLoadReport, TopicDrainingMark,
		TopicStateChanged, TopicConfigFetch, TopicStateSync,
		TopicOnceClaim, TopicOnceSettle, TopicOnceQuery,
		TopicHubState, TopicHubSync, TopicHubSyncPage, TopicMemberRegister, TopicRelayOffer, TopicPlaceRequest, TopicPlaceDecision, TopicPlaceEnd,
		TopicPlaceInFlight, TopicPlaceShare, TopicPlaceEndLimited, TopicPlaceLimits, TopicPlaceReturn,
		TopicEndpointDeparture, TopicEndpointRest:
		return true
	default:
		return false
	}
}

// droppable reports whether a queued message of the topic may be dropped for a newer one.
// The next report replaces a lost one.
func droppable(topic string) bool {
	return topic == TopicEvidenceReport || topic == TopicLoadReport
}
