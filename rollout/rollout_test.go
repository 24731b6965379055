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

// changeOf plans a change of the services against the head.
func changeOf(h Head, operation string, services ...string) Change {
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

// Guards against a change that is applied over another operator's, or twice.
func TestCommit(t *testing.T) {
	first := commit(t, Head{}, changeOf(Head{}, "op1", "lager", "katalog"))
	assert.Equal(t, int64(1), first.Head().Revision)
	assert.Equal(t, "config/doc/katalog/1-op1", first.CreateOnly()[0].Name)
	read, err := DecodeHead(first.HeadValue())
	require.NoError(t, err)
	stale := changeOf(Head{}, "op2", "lager")
	removal := changeOf(read, "op4", "katalog")
	removal.Remove = []string{"katalog"}
	withBoth := removal
	removal.Documents = nil
	unversioned := changeOf(read, "op5", "lager")
	unversioned.Versions = nil
	for name, c := range map[string]struct {
		change Change
		want   error
	}{
		"planned against another version": {stale, ErrStale},
		"committed before":                {changeOf(Head{}, "op1", "lager"), ErrCommitted},
		"another service":                 {changeOf(Head{}, "op3", "spedition"), nil},
		"removal":                         {removal, nil},
		"removal and document":            {withBoth, ErrChange},
		"no versions":                     {unversioned, ErrChange},
		"no operator":                     {Change{Operation: "x"}, ErrChange},
		"slash in the operation":          {Change{Operator: "ada", Operation: "a/b"}, ErrChange},
		"nothing to change":               {Change{Operator: "ada", Operation: "x"}, ErrChange},
		"base after the head":             {Change{Operator: "ada", Operation: "x", Base: 2}, ErrChange},
	} {
		_, err := read.Commit(c.change, start)
		assert.ErrorIs(t, err, c.want, name)
	}
	assert.NotContains(t, commit(t, read, removal).Head().Index, "katalog")
}

// Guards against a head that contradicts itself being taken from the platform
// or a peer.
func TestDecodeHeadRefuses(t *testing.T) {
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

// Guards against an operation that cannot be found, or is found where it is
// not, after its audit entry moved from the head to a segment.
func TestOperationLookup(t *testing.T) {
	const changes = 300
	h := Head{}
	stored := map[string][]byte{}
	for i := range changes {
		c := commit(t, h, changeOf(h, fmt.Sprintf("op%d", i+1), "lager"))
		for _, w := range c.CreateOnly() {
			assert.NotContains(t, stored, w.Name)
			stored[w.Name] = w.Value
		}
		h = c.Head()
		assert.LessOrEqual(t, len(h.Audit), maxAuditEntries)
	}
	for base := int64(0); base < changes; base += 7 {
		// The operation planned against base may have any later revision.
		for _, revision := range []int64{base + 1, min(base+40, changes), changes} {
			e, ok := lookUp(t, h, stored, base, fmt.Sprintf("op%d", revision))
			require.True(t, ok, "base %d, revision %d", base, revision)
			require.Equal(t, revision, e.Revision)
		}
		_, ok := lookUp(t, h, stored, base, "never")
		require.False(t, ok)
	}
}

func lookUp(t require.TestingT, h Head, stored map[string][]byte, base int64, operation string) (AuditEntry, bool) {
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

// Guards against an incomplete, altered or older configuration being applied.
func TestHolderAppliesOnlyCompleteAndHigher(t *testing.T) {
	one := commit(t, Head{}, changeOf(Head{}, "op1", "lager"))
	two := commit(t, one.Head(), changeOf(one.Head(), "op2", "lager", "katalog"))
	h := NewHolder(WithViolationHook(func(name, detail string) { t.Error(name, detail) }))
	late, err := h.Stage(one.Head())
	require.NoError(t, err)
	require.NoError(t, late.AddDocument(one.CreateOnly()[0].Name, one.CreateOnly()[0].Value))

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
	assert.ErrorIs(t, h.Apply(late), ErrOlder)
	_, err = h.Stage(one.Head())
	assert.ErrorIs(t, err, ErrOlder)
	_, err = h.Stage(two.Head())
	assert.ErrorIs(t, err, ErrOlder)
	value, ref, ok := h.Document("lager")
	assert.True(t, ok)
	assert.Equal(t, "lager by op2", string(value))
	assert.Equal(t, int64(2), ref.Revision)
}

// Guards against two contents under one revision going unnoticed.
func TestHolderReportsTwoContentsOfARevision(t *testing.T) {
	h := NewHolder()
	one := commit(t, Head{}, changeOf(Head{}, "op1", "lager"))
	other := commit(t, Head{}, changeOf(Head{}, "op2", "lager"))
	c, err := h.Stage(one.Head())
	require.NoError(t, err)
	require.NoError(t, c.AddDocument(one.CreateOnly()[0].Name, one.CreateOnly()[0].Value))
	require.NoError(t, h.Apply(c))
	_, err = h.Stage(other.Head())
	assert.ErrorIs(t, err, ErrOlder)
	assert.Equal(t, uint64(1), h.Violations())
}

// Guards against a delta that leads to another head than the sender's.
func TestDeltas(t *testing.T) {
	random := rand.New(rand.NewPCG(*seedFlag, 1))
	heads := []Head{{}}
	for i := range 130 {
		h := heads[len(heads)-1]
		c := changeOf(h, fmt.Sprint("op", i), fmt.Sprint("s", random.IntN(60)))
		if gone := h.Services(); len(gone) > 0 && random.IntN(3) == 0 {
			s := gone[random.IntN(len(gone))]
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

// Guards against a start from a configuration that a majority has left behind
// while the platform or a newer peer can be reached.
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
		"platform answers":              {7, report(9, 9), 2, 0, StartFromPlatform, ""},
		"nobody answers":                {-1, nil, 5, time.Hour, StartWait, ""},
		"platform without a head":       {0, report(0), 1, time.Hour, StartWait, ""},
		"one early answer":              {-1, report(5), 5, 0, StartWait, ""},
		"half":                          {-1, report(5, 5), 4, 0, StartWait, ""},
		"newest of a majority":          {-1, report(5, 7, 6), 5, 0, StartFromPeer, "p1"},
		"minority after the wait":       {-1, report(5, 7), 5, startWait, StartFromPeer, "p1"},
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

// Guards against serving on a configuration that cannot be confirmed, and
// against refusing while it can.
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
		{"nothing heard", func(*Freshness) {}, 1, 0, UnreadyStaleUnproved},
		{"platform", func(f *Freshness) { f.ConfirmByPlatform(at(0), 1) }, 1, 9, Ready},
		{"platform silent for 10 s", func(f *Freshness) { f.ConfirmByPlatform(at(0), 1) }, 1, 10, UnreadyStaleUnproved},
		{"peer's confirmation", func(f *Freshness) { f.ConfirmByPeer(at(5), 4*time.Second, 1) }, 1, 10, Ready},
		{"peer's old confirmation", func(f *Freshness) { f.ConfirmByPeer(at(5), 6*time.Second, 1) }, 1, 9, UnreadyStaleUnproved},
		{"negative age", func(f *Freshness) { f.ConfirmByPeer(at(0), -time.Hour, 1) }, 1, 10, UnreadyStaleUnproved},
		{"majority", func(f *Freshness) { f.ObserveMembers(at(0), 3, 5) }, 1, 9, Ready},
		{"half is no majority", func(f *Freshness) { f.ObserveMembers(at(0), 2, 4) }, 1, 1, UnreadyStaleUnproved},
		{"majority lost for 10 s", func(f *Freshness) {
			f.ObserveMembers(at(0), 3, 5)
			f.ObserveMembers(at(5), 1, 5)
		}, 1, 10, UnreadyStaleUnproved},
		{"a higher revision is confirmed", func(f *Freshness) { f.ConfirmByPlatform(at(0), 2) }, 1, 1, UnreadyStaleUnproved},
		{"an older confirmation arrives late", func(f *Freshness) {
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

// fleet is a store with lost answers and outages, operators who race, and
// proxies that start and stop at any time.
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	objects map[string][]byte
	version int64
	// decoded is the head that was stored with decodedVersion.
	decoded        Head
	decodedVersion int64
	down           bool
	proxies        []*Holder
	// highest is the highest revision that each proxy has held.
	highest   map[*Holder]int64
	committed map[string]bool // operations whose head update took effect
	reported  map[string]bool // operations that an operator was told are committed
	stale     int
	restarts  int
}

func (f *fleet) head() Head {
	if f.decodedVersion != f.version {
		h, err := DecodeHead(f.objects[HeadName])
		require.NoError(f.t, err)
		f.decoded = h
		f.decodedVersion = f.version
	}
	return f.decoded
}

// confirm is what an operator's server does with a confirmation: commit, and
// after a lost answer read back. Another operator may commit in between.
func (f *fleet) confirm(change Change, depth int) {
	var lost bool
	for range 5 {
		h, version := f.head(), f.version
		e, found := lookUp(f.t, h, f.objects, change.Base, change.Operation)
		require.Equal(f.t, f.committed[change.Operation], found)
		if found {
			require.Equal(f.t, change.Operation, e.Operation)
			f.reported[change.Operation] = true
			return
		}
		c, err := h.Commit(change, start)
		if err != nil {
			require.ErrorIs(f.t, err, ErrStale)
			f.stale++
			return
		}
		for _, w := range c.CreateOnly() {
			if old, exists := f.objects[w.Name]; exists {
				require.Equal(f.t, old, w.Value)
			}
			f.objects[w.Name] = w.Value
		}
		if depth == 0 && f.random.IntN(3) == 0 {
			f.confirm(f.plan(f.head()), 1)
		}
		if f.version != version {
			continue
		}
		f.objects[HeadName] = c.HeadValue()
		f.version++
		f.committed[change.Operation] = true
		if lost = f.random.IntN(4) == 0; lost {
			continue
		}
		f.reported[change.Operation] = true
		return
	}
}

func (f *fleet) plan(h Head) Change {
	c := changeOf(h, fmt.Sprintf("op-%d", f.random.Uint64()), fmt.Sprint("s", f.random.IntN(6)), fmt.Sprint("t", f.random.IntN(6)))
	if services := h.Services(); len(services) > 3 && f.random.IntN(4) == 0 {
		gone := services[f.random.IntN(len(services))]
		c.Versions[gone] = h.Index[gone].Name
		delete(c.Documents, gone)
		c.Remove = []string{gone}
	}
	return c
}

// refresh lets a proxy learn from the platform or from a peer.
func (f *fleet) refresh(p *Holder) {
	var c *Candidate
	var err error
	source := f.proxies[f.random.IntN(len(f.proxies))]
	if f.random.IntN(2) == 0 && !f.down {
		c, err = p.Stage(f.head())
	} else {
		c, err = p.StageDelta(source.Since(p.Revision()))
	}
	if err != nil {
		require.ErrorIs(f.t, err, ErrOlder)
		return
	}
	for _, ref := range c.MissingDocuments() {
		value, ok := source.DocumentByName(ref.Name)
		if !ok && !f.down {
			value, ok = f.objects[ref.Name]
		}
		if ok && f.random.IntN(20) > 0 {
			require.NoError(f.t, c.AddDocument(ref.Name, value))
		}
	}
	if f.random.IntN(3) == 0 {
		f.refresh(p) // another refresh finishes first
	}
	// Incomplete, or overtaken by the other refresh, it must change nothing.
	before := p.Revision()
	if err := p.Apply(c); err != nil {
		require.Equal(f.t, before, p.Revision())
	}
	f.observe(p)
}

func (f *fleet) observe(p *Holder) {
	require.GreaterOrEqual(f.t, p.Revision(), f.highest[p])
	f.highest[p] = p.Revision()
	h := p.Head()
	for service, ref := range h.Index {
		value, _, ok := p.Document(service)
		require.True(f.t, ok)
		require.Equal(f.t, ref.Digest, Digest(value))
	}
	if h.Revision == f.head().Revision {
		require.Equal(f.t, f.head(), h)
	}
}

// restart replaces a proxy and lets the new process choose its start. With all
// peers reachable it must not start behind the newest of them.
func (f *fleet) restart(i int) {
	p := NewHolder(WithViolationHook(func(name, detail string) { f.t.Error(name, detail) }))
	f.proxies[i] = p
	f.restarts++
	in := StartInput{Now: start, Started: start, PlatformRevision: -1, Members: len(f.proxies) - 1}
	var newest int64
	for k, peer := range f.proxies {
		if k != i {
			in.Reports = append(in.Reports, PeerReport{Incarnation: fmt.Sprint(k), Revision: peer.Revision()})
			newest = max(newest, peer.Revision())
		}
	}
	source, peer := ChooseStart(in)
	if newest == 0 {
		require.Equal(f.t, StartWait, source)
		return
	}
	require.Equal(f.t, StartFromPeer, source)
	var from int
	_, err := fmt.Sscan(peer, &from)
	require.NoError(f.t, err)
	c, err := p.StageDelta(f.proxies[from].Since(0))
	require.NoError(f.t, err)
	for _, ref := range c.MissingDocuments() {
		value, _ := f.proxies[from].DocumentByName(ref.Name)
		require.NoError(f.t, c.AddDocument(ref.Name, value))
	}
	require.NoError(f.t, p.Apply(c))
	require.Equal(f.t, newest, p.Revision())
	f.observe(p)
}

// Guards P7 and the audit trail: with racing operators, lost answers, outages
// and restarts, a revision never goes back and has one content, every reported
// operation is committed once, and every change is in the audit trail.
func TestRandomFleet(t *testing.T) {
	const runs, steps = 8, 400
	var committed, stale, restarts int
	for i := range runs * *runsFlag {
		f := &fleet{
			t: t, random: rand.New(rand.NewPCG(*seedFlag+uint64(i), 3)),
			objects: map[string][]byte{HeadName: []byte(`{}`)},
			highest: map[*Holder]int64{}, committed: map[string]bool{}, reported: map[string]bool{},
		}
		for range 5 {
			f.proxies = append(f.proxies, NewHolder(WithViolationHook(func(name, detail string) { t.Error(name, detail) })))
		}
		for range steps {
			switch n := f.random.IntN(20); {
			case n < 4 && !f.down:
				f.confirm(f.plan(f.head()), 0)
			case n == 4:
				f.down = !f.down
			case n == 5:
				f.restart(f.random.IntN(len(f.proxies)))
			default:
				f.refresh(f.proxies[f.random.IntN(len(f.proxies))])
			}
		}
		require.Equal(t, int64(len(f.committed)), f.head().Revision)
		for operation := range maps.Keys(f.reported) {
			_, ok := lookUp(t, f.head(), f.objects, 0, operation)
			require.True(t, ok)
		}
		committed += len(f.committed)
		stale += f.stale
		restarts += f.restarts
	}
	fmt.Printf("random fleets, seeds %d to %d: %d changes committed, %d stale, %d restarts\n",
		*seedFlag, *seedFlag+uint64(runs**runsFlag)-1, committed, stale, restarts)
}
