package rollout

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	seedFlag = flag.Uint64("seed", 1, "first seed of the randomised runs")
	runsFlag = flag.Int("runs", 1, "multiplies the number of randomised runs")
)

var start = time.UnixMilli(1_800_000_000_000)

// newChange returns a change of the services, planned against h.
func newChange(h Head, operation string, services ...string) Change {
	c := Change{
		Operator: "ada", Operation: operation, Base: h.Revision,
		Versions: map[string]string{}, Documents: map[string][]byte{},
	}
	for _, s := range services {
		c.Versions[s] = h.Index[s].Name
		c.Documents[s] = []byte(s + " by " + operation)
	}
	return c
}

func commit(t require.TestingT, h Head, c Change) Commit {
	committed, err := h.Commit(c, start)
	require.NoError(t, err)
	return committed
}

// Guards against a change that overwrites another operator's change, or that is
// committed twice.
func TestCommit(t *testing.T) {
	first := commit(t, Head{}, newChange(Head{}, "op1", "lager", "katalog"))
	assert.Equal(t, int64(1), first.Head().Revision)
	assert.Equal(t, "config/doc/katalog/1-op1", first.CreateOnly()[0].Name)
	read, err := DecodeHead(first.HeadValue())
	require.NoError(t, err)
	stale := newChange(Head{}, "op2", "lager")
	removal := newChange(read, "op4", "katalog")
	removal.Remove = []string{"katalog"}
	withBoth := removal
	removal.Documents = nil
	unversioned := newChange(read, "op5", "lager")
	unversioned.Versions = nil
	for name, c := range map[string]struct {
		change Change
		want   error
	}{
		"planned against an older version": {stale, ErrStale},
		"already committed":                {newChange(Head{}, "op1", "lager"), ErrCommitted},
		"another service":                  {newChange(Head{}, "op3", "spedition"), nil},
		"removal":                          {removal, nil},
		"removal and document":             {withBoth, ErrChange},
		"no versions":                      {unversioned, ErrChange},
		"no operator":                      {Change{Operation: "x"}, ErrChange},
		"slash in the operation":           {Change{Operator: "ada", Operation: "a/b"}, ErrChange},
		"nothing to change":                {Change{Operator: "ada", Operation: "x"}, ErrChange},
		"base after the head":              {Change{Operator: "ada", Operation: "x", Base: 2}, ErrChange},
	} {
		_, err := read.Commit(c.change, start)
		assert.ErrorIs(t, err, c.want, name)
	}
	assert.NotContains(t, commit(t, read, removal).Head().Index, "katalog")
}

// Guards against accepting a malformed or inconsistent head or segment.
func TestDecodeRejectsInvalidValues(t *testing.T) {
	for _, value := range []string{
		`{`, `{"revision":-1}`, `{"revision":1,"index":{"a":{}}}`,
		`{"revision":1,"index":{"a":{"name":"n","digest":"d","revision":2}}}`,
		`{"revision":2,"audit":[{"revision":1}]}`,
	} {
		_, err := DecodeHead([]byte(value))
		assert.ErrorIs(t, err, ErrHead, value)
	}
	_, err := DecodeSegment([]byte(`{"number":0,"entries":[{"revision":1}]}`))
	assert.ErrorIs(t, err, ErrSegment)
}

// Guards against an operation that is not found after its audit entry was moved
// from the head to a segment, and against finding one that was not committed.
func TestOperationLookup(t *testing.T) {
	const changes = 300
	h := Head{}
	stored := map[string][]byte{}
	for i := range changes {
		c := commit(t, h, newChange(h, fmt.Sprintf("op%d", i+1), "lager"))
		for _, w := range c.CreateOnly() {
			assert.NotContains(t, stored, w.Name)
			stored[w.Name] = w.Value
		}
		h = c.Head()
		assert.LessOrEqual(t, len(h.Audit), maxHeadEntries)
	}
	for base := int64(0); base < changes; base += 7 {
		// An operation planned against base may be committed as any later revision.
		for _, revision := range []int64{base + 1, min(base+40, changes), changes} {
			e, ok := findCommitted(t, h, stored, base, fmt.Sprintf("op%d", revision))
			require.True(t, ok, "base %d, revision %d", base, revision)
			require.Equal(t, revision, e.Revision)
		}
		_, ok := findCommitted(t, h, stored, base, "never")
		require.False(t, ok)
	}
}

func findCommitted(t require.TestingT, h Head, stored map[string][]byte, base int64, operation string) (AuditEntry, bool) {
	if e, ok := h.Operation(operation); ok {
		return e, true
	}
	for _, name := range h.SegmentsSince(base) {
		s, err := DecodeSegment(stored[name])
		require.NoError(t, err)
		if e, ok := s.Operation(operation); ok {
			return e, true
		}
	}
	return AuditEntry{}, false
}

// Guards against applying an incomplete, altered or older configuration.
func TestHolderAppliesOnlyCompleteAndHigher(t *testing.T) {
	one := commit(t, Head{}, newChange(Head{}, "op1", "lager"))
	two := commit(t, one.Head(), newChange(one.Head(), "op2", "lager", "katalog"))
	h := NewHolder(WithViolationHook(func(name, detail string) { t.Error(name, detail) }))
	older, err := h.Stage(one.Head())
	require.NoError(t, err)
	require.NoError(t, older.AddDocument(one.CreateOnly()[0].Name, one.CreateOnly()[0].Value))

	c, err := h.Stage(two.Head())
	require.NoError(t, err)
	assert.Len(t, c.MissingDocuments(), 2)
	assert.ErrorIs(t, c.AddDocument(two.CreateOnly()[0].Name, []byte("altered")), ErrDigest)
	assert.ErrorIs(t, c.AddDocument(one.CreateOnly()[0].Name, one.CreateOnly()[0].Value), ErrDigest)
	require.NoError(t, c.AddDocument(two.CreateOnly()[0].Name, two.CreateOnly()[0].Value))
	assert.ErrorIs(t, h.Apply(c), ErrIncomplete)
	assert.Zero(t, h.Revision())
	require.NoError(t, c.AddDocument(two.CreateOnly()[1].Name, two.CreateOnly()[1].Value))
	require.NoError(t, h.Apply(c))
	assert.ErrorIs(t, h.Apply(older), ErrNotNewer)
	_, err = h.Stage(one.Head())
	assert.ErrorIs(t, err, ErrNotNewer)
	_, err = h.Stage(two.Head())
	assert.ErrorIs(t, err, ErrNotNewer)
	value, ref, ok := h.Document("lager")
	assert.True(t, ok)
	assert.Equal(t, "lager by op2", string(value))
	assert.Equal(t, int64(2), ref.Revision)
}

// Guards against an undetected second head with the same revision.
func TestHolderReportsConflictingRevision(t *testing.T) {
	h := NewHolder()
	one := commit(t, Head{}, newChange(Head{}, "op1", "lager"))
	other := commit(t, Head{}, newChange(Head{}, "op2", "lager"))
	c, err := h.Stage(one.Head())
	require.NoError(t, err)
	require.NoError(t, c.AddDocument(one.CreateOnly()[0].Name, one.CreateOnly()[0].Value))
	require.NoError(t, h.Apply(c))
	_, err = h.Stage(other.Head())
	assert.ErrorIs(t, err, ErrNotNewer)
	assert.Equal(t, uint64(1), h.Violations())
}

// Guards against a delta whose result differs from the sender's head.
func TestDeltaReproducesHead(t *testing.T) {
	random := rand.New(rand.NewPCG(*seedFlag, 1))
	heads := []Head{{}}
	for i := range 130 {
		h := heads[len(heads)-1]
		c := newChange(h, fmt.Sprint("op", i), fmt.Sprint("s", random.IntN(60)))
		if services := h.Services(); len(services) > 0 && random.IntN(3) == 0 {
			s := services[random.IntN(len(services))]
			c.Versions[s] = h.Index[s].Name
			delete(c.Documents, s)
			c.Remove = []string{s}
		}
		heads = append(heads, commit(t, h, c).Head())
	}
	partial := 0
	for range 500 {
		from, to := heads[random.IntN(len(heads))], heads[1+random.IntN(len(heads)-1)]
		d, err := to.Since(from.Revision)
		require.NoError(t, err)
		if d.Base > 0 && d.Base < to.Revision {
			partial++
		}
		got, err := from.Apply(d)
		require.NoError(t, err, "from %d to %d", from.Revision, to.Revision)
		want, _ := to.Digest()
		sum, _ := got.Digest()
		require.Equal(t, want, sum)
		_, err = heads[0].Apply(d)
		if d.Base != 0 {
			require.ErrorIs(t, err, ErrDelta)
		}
	}
	assert.Positive(t, partial)
}

// Guards against a start with an outdated configuration while the platform or a
// majority with a newer one can be reached.
func TestChooseStart(t *testing.T) {
	report := func(revisions ...int64) (reports []PeerReport) {
		for i, r := range revisions {
			reports = append(reports, PeerReport{Incarnation: fmt.Sprint("p", i), Revision: r})
		}
		return reports
	}
	for name, c := range map[string]struct {
		platform int64
		reports  []PeerReport
		members  int
		waited   time.Duration
		want     StartSource
		peer     string
	}{
		"platform responds":             {7, report(9, 9), 2, 0, StartFromPlatform, ""},
		"no responses":                  {-1, nil, 5, time.Hour, StartWait, ""},
		"platform without a head":       {0, report(0), 1, time.Hour, StartWait, ""},
		"one early response":            {-1, report(5), 5, 0, StartWait, ""},
		"half":                          {-1, report(5, 5), 4, 0, StartWait, ""},
		"newest of a majority":          {-1, report(5, 7, 6), 5, 0, StartFromPeer, "p1"},
		"minority after maxStartWait":   {-1, report(5, 7), 5, maxStartWait, StartFromPeer, "p1"},
		"peers without a configuration": {-1, report(0, 0, 0), 3, time.Hour, StartWait, ""},
	} {
		source, peer := ChooseStart(StartInput{
			Now: start.Add(c.waited), Started: start,
			PlatformRevision: c.platform, Reports: c.reports, Members: c.members,
		})
		assert.Equal(t, c.want, source, name)
		assert.Equal(t, c.peer, peer, name)
		slices.Reverse(c.reports)
	}
}

// Guards against serving with a configuration that cannot be confirmed as
// current, and against not serving with one that can.
func TestFreshness(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, c := range []struct {
		name   string
		events func(*Freshness)
		held   int64
		now    int
		want   Readiness
	}{
		{"no configuration", func(f *Freshness) { f.ConfirmByPlatform(at(0), 1) }, 0, 1, UnreadyNoConfig},
		{"nothing confirmed", func(*Freshness) {}, 1, 0, UnreadyUnconfirmed},
		{"platform", func(f *Freshness) { f.ConfirmByPlatform(at(0), 1) }, 1, 9, Ready},
		{"platform confirmed 10 s ago", func(f *Freshness) { f.ConfirmByPlatform(at(0), 1) }, 1, 10, UnreadyUnconfirmed},
		{"confirmation by peer", func(f *Freshness) { f.ConfirmByPeer(at(5), 4*time.Second, 1) }, 1, 10, Ready},
		{"old confirmation by peer", func(f *Freshness) { f.ConfirmByPeer(at(5), 6*time.Second, 1) }, 1, 9, UnreadyUnconfirmed},
		{"negative age", func(f *Freshness) { f.ConfirmByPeer(at(0), -time.Hour, 1) }, 1, 10, UnreadyUnconfirmed},
		{"majority", func(f *Freshness) { f.ObserveMembers(at(0), 3, 5) }, 1, 9, Ready},
		{"half of the members", func(f *Freshness) { f.ObserveMembers(at(0), 2, 4) }, 1, 1, UnreadyUnconfirmed},
		{"majority lost for 10 s", func(f *Freshness) {
			f.ObserveMembers(at(0), 3, 5)
			f.ObserveMembers(at(5), 1, 5)
		}, 1, 10, UnreadyUnconfirmed},
		{"higher revision confirmed", func(f *Freshness) { f.ConfirmByPlatform(at(0), 2) }, 1, 1, UnreadyUnconfirmed},
		{"older confirmation arrives later", func(f *Freshness) {
			f.ConfirmByPlatform(at(8), 1)
			f.ConfirmByPeer(at(9), 8*time.Second, 1)
		}, 1, 17, Ready},
	} {
		f := &Freshness{}
		c.events(f)
		assert.Equal(t, c.want, f.Ready(at(c.now), c.held), c.name)
	}
	f := &Freshness{}
	f.ConfirmByPlatform(at(0), 4)
	revision, age, ok := f.Confirmation(at(3))
	assert.Equal(t, []any{int64(4), 3 * time.Second, true}, []any{revision, age, ok})
}

// simulation simulates a store with lost responses and outages, concurrent
// operators, and proxies that are replaced at any time.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	objects map[string][]byte
	version int64
	// cachedHead is the decoded head of the store as of cachedVersion.
	cachedHead    Head
	cachedVersion int64
	platformDown  bool
	proxies       []*Holder
	// highest is the highest revision that each proxy has held.
	highest      map[*Holder]int64
	committed    map[string]bool // operations whose head update took effect
	reported     map[string]bool // operations that were reported as committed
	staleChanges int
	restarts     int
}

func (s *simulation) head() Head {
	if s.cachedVersion != s.version {
		h, err := DecodeHead(s.objects[HeadName])
		require.NoError(s.t, err)
		s.cachedHead = h
		s.cachedVersion = s.version
	}
	return s.cachedHead
}

// confirm commits a change as the operators' server does, and reads the head
// again after a lost response. Another operator may commit a change meanwhile.
func (s *simulation) confirm(change Change, depth int) {
	var responseLost bool
	for range 5 {
		h, version := s.head(), s.version
		e, found := findCommitted(s.t, h, s.objects, change.Base, change.Operation)
		require.Equal(s.t, s.committed[change.Operation], found)
		if found {
			require.Equal(s.t, change.Operation, e.Operation)
			s.reported[change.Operation] = true
			return
		}
		c, err := h.Commit(change, start)
		if err != nil {
			require.ErrorIs(s.t, err, ErrStale)
			s.staleChanges++
			return
		}
		for _, w := range c.CreateOnly() {
			if old, exists := s.objects[w.Name]; exists {
				require.Equal(s.t, old, w.Value)
			}
			s.objects[w.Name] = w.Value
		}
		if depth == 0 && s.random.IntN(3) == 0 {
			s.confirm(s.randomChange(s.head()), 1)
		}
		if s.version != version {
			continue
		}
		s.objects[HeadName] = c.HeadValue()
		s.version++
		s.committed[change.Operation] = true
		if responseLost = s.random.IntN(4) == 0; responseLost {
			continue
		}
		s.reported[change.Operation] = true
		return
	}
}

func (s *simulation) randomChange(h Head) Change {
	c := newChange(h, fmt.Sprintf("op-%d", s.random.Uint64()), fmt.Sprint("s", s.random.IntN(6)), fmt.Sprint("t", s.random.IntN(6)))
	if services := h.Services(); len(services) > 3 && s.random.IntN(4) == 0 {
		removed := services[s.random.IntN(len(services))]
		c.Versions[removed] = h.Index[removed].Name
		delete(c.Documents, removed)
		c.Remove = []string{removed}
	}
	return c
}

// refresh updates a proxy from the platform or from a peer.
func (s *simulation) refresh(p *Holder) {
	var c *Candidate
	var err error
	source := s.proxies[s.random.IntN(len(s.proxies))]
	if s.random.IntN(2) == 0 && !s.platformDown {
		c, err = p.Stage(s.head())
	} else {
		c, err = p.StageDelta(source.Since(p.Revision()))
	}
	if err != nil {
		require.ErrorIs(s.t, err, ErrNotNewer)
		return
	}
	for _, ref := range c.MissingDocuments() {
		value, ok := source.DocumentByName(ref.Name)
		if !ok && !s.platformDown {
			value, ok = s.objects[ref.Name]
		}
		if ok && s.random.IntN(20) > 0 {
			require.NoError(s.t, c.AddDocument(ref.Name, value))
		}
	}
	if s.random.IntN(3) == 0 {
		s.refresh(p) // another refresh finishes first
	}
	// A candidate that is incomplete or older than the other refresh's must
	// change nothing.
	before := p.Revision()
	if err := p.Apply(c); err != nil {
		require.Equal(s.t, before, p.Revision())
	}
	s.checkProxy(p)
}

func (s *simulation) checkProxy(p *Holder) {
	require.GreaterOrEqual(s.t, p.Revision(), s.highest[p])
	s.highest[p] = p.Revision()
	h := p.Head()
	for service, ref := range h.Index {
		value, _, ok := p.Document(service)
		require.True(s.t, ok)
		require.Equal(s.t, ref.Digest, Digest(value))
	}
	if h.Revision == s.head().Revision {
		require.Equal(s.t, s.head(), h)
	}
}

// restart replaces a proxy by a new process, which gets its configuration from a
// peer. With all peers reachable it must start with the newest revision of them.
func (s *simulation) restart(i int) {
	p := NewHolder(WithViolationHook(func(name, detail string) { s.t.Error(name, detail) }))
	s.proxies[i] = p
	s.restarts++
	in := StartInput{Now: start, Started: start, PlatformRevision: -1, Members: len(s.proxies) - 1}
	var newest int64
	for k, peer := range s.proxies {
		if k != i {
			in.Reports = append(in.Reports, PeerReport{Incarnation: fmt.Sprint(k), Revision: peer.Revision()})
			newest = max(newest, peer.Revision())
		}
	}
	source, peer := ChooseStart(in)
	if newest == 0 {
		require.Equal(s.t, StartWait, source)
		return
	}
	require.Equal(s.t, StartFromPeer, source)
	var from int
	_, err := fmt.Sscan(peer, &from)
	require.NoError(s.t, err)
	c, err := p.StageDelta(s.proxies[from].Since(0))
	require.NoError(s.t, err)
	for _, ref := range c.MissingDocuments() {
		value, _ := s.proxies[from].DocumentByName(ref.Name)
		require.NoError(s.t, c.AddDocument(ref.Name, value))
	}
	require.NoError(s.t, p.Apply(c))
	require.Equal(s.t, newest, p.Revision())
	s.checkProxy(p)
}

// Guards against a revision that decreases or has two different heads, a reported
// operation that is not committed exactly once, and a change without an audit
// entry, with concurrent operators, lost responses, outages and restarts.
func TestRandomFleet(t *testing.T) {
	const runs, steps = 8, 400
	var committed, stale, restarts int
	for i := range runs * *runsFlag {
		s := &simulation{
			t: t, random: rand.New(rand.NewPCG(*seedFlag+uint64(i), 3)),
			objects: map[string][]byte{HeadName: []byte(`{}`)},
			highest: map[*Holder]int64{}, committed: map[string]bool{}, reported: map[string]bool{},
		}
		for range 5 {
			s.proxies = append(s.proxies, NewHolder(WithViolationHook(func(name, detail string) { t.Error(name, detail) })))
		}
		for range steps {
			switch n := s.random.IntN(20); {
			case n < 4 && !s.platformDown:
				s.confirm(s.randomChange(s.head()), 0)
			case n == 4:
				s.platformDown = !s.platformDown
			case n == 5:
				s.restart(s.random.IntN(len(s.proxies)))
			default:
				s.refresh(s.proxies[s.random.IntN(len(s.proxies))])
			}
		}
		require.Equal(t, int64(len(s.committed)), s.head().Revision)
		for operation := range maps.Keys(s.reported) {
			_, ok := findCommitted(t, s.head(), s.objects, 0, operation)
			require.True(t, ok)
		}
		committed += len(s.committed)
		stale += s.staleChanges
		restarts += s.restarts
	}
	fmt.Printf("random fleets, seeds %d to %d: %d changes committed, %d stale, %d restarts\n",
		*seedFlag, *seedFlag+uint64(runs**runsFlag)-1, committed, stale, restarts)
}
