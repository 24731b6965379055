package gateway

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rotisserie/eris"

	"github.com/carawayhold/carawayhold/protocol/peer"
)

// hubAnnotation goes with the state message of a hub. Members of other versions ignore it.
type hubAnnotation struct {
	// SentMillis is the clock of the hub in milliseconds when it sent the message.
	SentMillis int64
	// EndpointsAgeMillis and ConfigurationAgeMillis are the times since which the hub has not
	// read them from the store, or -1 if it never has.
	EndpointsAgeMillis     int64
	ConfigurationAgeMillis int64
	// Revision is the revision of the store up to which the hub has read both.
	Revision Revision
}

// annotationOf returns the annotation of a state message. A hub of an earlier version sends none;
// what it states about its contact with the store is used instead.
func annotationOf(m *message.Message, s *hubState) (hubAnnotation, error) {
	a := hubAnnotation{EndpointsAgeMillis: s.StoreAgeMillis, ConfigurationAgeMillis: s.StoreAgeMillis}
	if annotated := m.Metadata.Get(peer.MetadataAnnotation); annotated != "" {
		if err := decode([]byte(annotated), &a); err != nil {
			return a, err
		}
	}
	return a, a.Validate()
}

// maxAnnotatedMillis exceeds every age and the reading of every clock in milliseconds.
const maxAnnotatedMillis = 1 << 42

// ErrAnnotationRange means that an annotation holds a time that no clock shows.
var ErrAnnotationRange = eris.New("gateway: annotation out of range")

// unconfirmed is the annotation of a message that confirms nothing.
var unconfirmed = hubAnnotation{EndpointsAgeMillis: -1, ConfigurationAgeMillis: -1}

// Validate reports whether times can be computed from the annotation.
func (a *hubAnnotation) Validate() error {
	if a.EndpointsAgeMillis < -1 || a.ConfigurationAgeMillis < -1 || a.SentMillis < 0 ||
		max(a.EndpointsAgeMillis, a.ConfigurationAgeMillis, a.SentMillis) > maxAnnotatedMillis {
		return eris.Wrapf(ErrAnnotationRange, "sent at %d, ages %d and %d ms", a.SentMillis, a.EndpointsAgeMillis, a.ConfigurationAgeMillis)
	}
	return nil
}

// annotation describes how recent the state of this member is that it read itself.
func (f *fleet) annotation() hubAnnotation {
	endpoints, configuration := f.ownConfirmation(KindEndpoints), f.ownConfirmation(KindConfiguration)
	// Read after the confirmations, so that no age is negative.
	now := bootTime()
	return hubAnnotation{
		SentMillis:         time.Duration(now).Milliseconds(),
		EndpointsAgeMillis: ageMillis(now, endpoints), ConfigurationAgeMillis: ageMillis(now, configuration),
		Revision: min(endpoints.revision, configuration.revision),
	}
}

// ageMillis rounds up, so that the state is never taken for more recent than it is.
func ageMillis(now instant, c confirmation) int64 {
	if c.at == 0 {
		return -1
	}
	return now.since(c.at).Milliseconds() + 1
}

// ageFromMillis returns an age that another member stated, which is never in the future.
func ageFromMillis(millis int64) time.Duration {
	return time.Duration(max(0, min(maxAnnotatedMillis, millis))) * time.Millisecond
}

// memberClock relates the clock of a member to that of this one.
type memberClock struct {
	incarnation string
	// offset is the smallest difference seen between this clock at the receipt of a message and
	// that of the member when it was sent. It includes the shortest time underway.
	offset time.Duration
}

// underway returns the time for which a message was underway beyond the shortest time that was
// seen from its sender. Clocks of members are not synchronized, but advance alike.
func (f *fleet) underway(from, incarnation string, sentMillis int64, now instant) time.Duration {
	offset := now.since(instant(time.Duration(sentMillis) * time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	clock, found := f.clocks[from]
	if !found || clock.incarnation != incarnation || offset < clock.offset {
		clock = memberClock{incarnation: incarnation, offset: offset}
		f.clocks[from] = clock
	}
	return offset - clock.offset
}

// confirmByHub records what the message of a hub confirms about the state of this member, if it
// has the same.
func (g *Gateway) confirmByHub(s *hubState, a hubAnnotation, received instant, underway time.Duration) {
	g.mu.Lock()
	sameEndpoints, sameConfiguration := g.registry.digest == s.Digest, g.version() >= s.Version
	g.mu.Unlock()
	confirm := func(kind Kind, same bool, ageMillis int64) {
		if same && ageMillis >= 0 {
			at := received - instant(underway) - instant(ageFromMillis(ageMillis))
			g.confirmations.told(kind, confirmation{at: at, revision: a.Revision})
		}
	}
	confirm(KindEndpoints, sameEndpoints, a.EndpointsAgeMillis)
	confirm(KindConfiguration, sameConfiguration && s.Version > 0, a.ConfigurationAgeMillis)
}
