package peer

import (
	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of a transport.
type counters struct {
	framesSent         *metrics.Counter
	bytesSent          *metrics.Counter
	framesReceived     *metrics.Counter
	bytesReceived      *metrics.Counter
	malformed          *metrics.Counter
	tooLarge           *metrics.Counter
	unknownTopic       *metrics.Counter
	unhandled          *metrics.Counter
	droppedOutbound    *metrics.Counter
	droppedInbound     *metrics.Counter
	refusedFull        *metrics.Counter
	silenceClosed      *metrics.Counter
	dials              *metrics.Counter
	dialFailures       *metrics.Counter
	wrongIncarnation   *metrics.Counter
	lateReplies        *metrics.Counter
	refusedConnections *metrics.Counter
	busy               *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	counter := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter("carawayhold_peer_" + name + "_total")
	}
	return counters{
		framesSent:         counter("frames_sent"),
		bytesSent:          counter("bytes_sent"),
		framesReceived:     counter("frames_received"),
		bytesReceived:      counter("bytes_received"),
		malformed:          counter("malformed_frames"),
		tooLarge:           counter("too_large_frames"),
		unknownTopic:       counter("unknown_topics"),
		unhandled:          counter("unhandled_messages"),
		droppedOutbound:    counter("dropped_outbound_messages"),
		droppedInbound:     counter("dropped_inbound_messages"),
		refusedFull:        counter("refused_full_queue"),
		silenceClosed:      counter("silent_connections_closed"),
		dials:              counter("dials"),
		dialFailures:       counter("dial_failures"),
		wrongIncarnation:   counter("wrong_incarnation_replies"),
		lateReplies:        counter("late_replies"),
		refusedConnections: counter("refused_connections"),
		busy:               counter("busy_requests"),
	}
}
