package membership

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newTestNode(name string) *Node {
	self := NewMember(name, name+":8082", "finistere", NewIncarnation(epoch, hashString(name)))
	return NewNode(self, epoch, rand.New(rand.NewPCG(1, 2)))
}

// Guards against nodes that end up in different states because the same updates
// arrived in different orders.
func TestMergeDoesNotDependOnUpdateOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Update {
			i := rapid.IntRange(1, 4).Draw(t, "member")
			return Update{
				Incarnation: Incarnation{StartMillis: 1, Bits: uint64(i)},
				Address:     "m" + strconv.Itoa(i) + ":8082",
				Status:      Status(rapid.IntRange(1, 4).Draw(t, "status")),
				Counter:     uint32(rapid.IntRange(0, 3).Draw(t, "counter")),
			}
		}), 1, 20).Draw(t, "updates")
		shuffled := rapid.Permutation(updates).Draw(t, "order")
		a, b := newTestNode("a"), newTestNode("b")
		for i := range updates {
			a.merge(epoch, updates[i], true)
			b.merge(epoch, shuffled[i], true)
		}
		for i := range a.records {
			if a.records[i].update != b.records[i].update {
				t.Fatalf("%v and %v", a.records[i].update, b.records[i].update)
			}
		}
	})
}

// Guards against received messages that make a node panic, exceed the bounds of its
// messages, or stop considering itself alive.
func TestArbitraryMessagesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNode("a")
		now := epoch
		update := rapid.Custom(func(t *rapid.T) Update {
			bits := rapid.SampledFrom([]uint64{0, 1, 2, 3, n.self.Incarnation.Bits}).Draw(t, "bits")
			start := rapid.SampledFrom([]int64{0, 1, n.self.Incarnation.StartMillis}).Draw(t, "start")
			return Update{
				Incarnation: Incarnation{StartMillis: start, Bits: bits},
				Address:     rapid.SampledFrom([]string{"", "a:8082", "b:8082", "c:8082"}).Draw(t, "address"),
				Status:      Status(rapid.IntRange(0, 5).Draw(t, "status")),
				Counter:     uint32(rapid.IntRange(0, 5).Draw(t, "counter")),
			}
		})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "step")) * time.Millisecond)
			out := n.Handle(now, Message{
				Kind:     Kind(rapid.IntRange(0, 5).Draw(t, "kind")),
				Sequence: rapid.Uint64Range(0, 5).Draw(t, "sequence"),
				Sender:   update.Draw(t, "sender"), Target: update.Draw(t, "target").Incarnation,
				TargetAddress: rapid.SampledFrom([]string{"", "c:8082"}).Draw(t, "targetAddress"),
				Relayed:       rapid.Bool().Draw(t, "relayed"), Joining: rapid.Bool().Draw(t, "joining"),
				Cursor:  update.Draw(t, "cursor").Incarnation,
				Updates: rapid.SliceOfN(update, 0, 9).Draw(t, "updates"),
				Page:    rapid.SliceOfN(update, 0, 9).Draw(t, "page"),
			})
			out = append(out, n.Tick(now)...)
			for _, o := range out {
				m := o.Message()
				if len(m.Updates)+len(m.Page) > MaxUpdates || o.Address() == "" {
					t.Fatalf("message to %q with %d updates and %d entries", o.Address(), len(m.Updates), len(m.Page))
				}
			}
			if n.Self().Status() != StatusAlive || len(n.sortedRecords) != len(n.records) || n.Live() < 1 {
				t.Fatalf("status %v, %d and %d records", n.Self().Status(), len(n.sortedRecords), len(n.records))
			}
		}
	})
}

// Guards against nodes that disagree about the home of a key, and against keys that
// move although neither their old nor their new home changed.
func TestRendezvousMovesFewKeys(t *testing.T) {
	f := newJoinedFleet(t, 32, *seedFlag)
	a, b := f.processes[0].node, f.processes[1].node
	before := map[string]Member{}
	perMember := map[string]int{}
	for i := range 3200 {
		key := "once/lager/" + strconv.Itoa(i)
		require.Equal(t, a.Home(key), b.Home(key))
		require.Equal(t, a.Home(key), a.Evaluators(key, 2)[0])
		before[key] = a.Home(key)
		perMember[a.Home(key).Address()]++
	}
	for addr, count := range perMember {
		require.InDelta(t, 100, count, 50, addr)
	}
	left := f.processes[5].node.self
	left.Status = StatusLeft
	a.merge(f.now, left, true)
	for key, home := range before {
		if home.Address() != left.Address {
			require.Equal(t, home, a.Home(key))
		} else {
			require.NotEqual(t, home, a.Home(key))
		}
	}
	require.Len(t, a.Evaluators("lager", 40), 31)
}

// Guards against a confirmation age that shrinks when it is forwarded, and against a
// configuration revision that decreases.
func TestConfirmationAgeNeverShrinks(t *testing.T) {
	f := newJoinedFleet(t, 8, *seedFlag)
	confirmed := f.now
	f.processes[0].node.SetConfirmed(confirmed)
	f.processes[0].node.SetConfigRevision(7)
	f.processes[0].node.SetConfigRevision(6)
	f.run(8 * time.Second)
	for _, p := range f.processes {
		at, ok := p.node.Confirmed()
		require.True(t, ok)
		require.False(t, at.After(confirmed), "%v is later than %v", at, confirmed)
		require.Less(t, confirmed.Sub(at), 100*time.Millisecond)
		revision, holder := p.node.NewestConfig()
		require.EqualValues(t, 7, revision)
		require.Equal(t, f.processes[0].address, holder.Address())
	}
}

// Guards against a planned shutdown that is reported as a death, or not noticed.
func TestLeaveSpreads(t *testing.T) {
	f := newJoinedFleet(t, 32, *seedFlag)
	leaving := f.processes[3]
	f.onChange = func(_ *process, c Change) {
		require.Equal(t, StatusLeft.String(), c.Member().Status().String())
	}
	out := leaving.node.Leave(f.now)
	require.Len(t, out, leaveFanOut)
	f.send(leaving, out)
	leaving.dead = true
	f.run(4 * time.Second)
	for _, p := range f.processes {
		if p != leaving {
			require.Equal(t, 31, p.node.Live(), p.address)
		}
	}
}

// Guards against a broadcast queue that grows without bound or sends updates forever.
func TestBroadcastQueueIsBounded(t *testing.T) {
	r := &broadcastQueue{}
	for i := range 3 * maxBroadcasts {
		r.add(Update{Incarnation: Incarnation{Bits: uint64(i % (2 * maxBroadcasts))}})
	}
	require.Len(t, r.entries, maxBroadcasts)
	sent := 0
	for len(r.entries) > 0 {
		taken := r.take(MaxUpdates, 500)
		require.LessOrEqual(t, len(taken), MaxUpdates)
		sent += len(taken)
	}
	require.Equal(t, maxBroadcasts*retransmitFactor*9, sent)
}

func withStatus(u Update, s Status) Update {
	u.Status = s
	return u
}

// Guards against wrong conclusions from single messages, one rule per case.
func TestMessageHandlingRules(t *testing.T) {
	old := Update{
		Incarnation: Incarnation{StartMillis: 5, Bits: 1}, Address: "x:8082", Status: StatusAlive,
	}
	newer := old
	newer.Incarnation.StartMillis = 6
	older := old
	older.Incarnation.StartMillis = 4
	ack := func(from Update, age int64) Message {
		return Message{
			Kind: KindAck, Sequence: 1, Sender: from, Target: from.Incarnation, ConfirmedAgeMillis: age,
		}
	}
	status := func(n *Node, u Update) Status {
		m, _ := n.Lookup(u.Incarnation)
		return m.Status()
	}
	prepared := func() *Node {
		n := newTestNode("a")
		n.merge(epoch, old, true)
		n.settled = true
		require.Len(t, n.Tick(epoch), 1)
		return n
	}

	t.Run("a newer incarnation replaces the older one", func(t *testing.T) {
		n := prepared()
		n.Handle(epoch, Message{Kind: KindLeave, Sender: old, Updates: []Update{newer}})
		require.Equal(t, StatusLeft, status(n, old))
	})
	t.Run("an incarnation that answers replaces the one that was pinged", func(t *testing.T) {
		n := prepared()
		n.Handle(epoch, ack(older, -1))
		require.Equal(t, StatusLeft, status(n, old))
		require.Equal(t, StatusAlive, status(n, older))
	})
	t.Run("an age counts from the ping and is not rounded down", func(t *testing.T) {
		n := prepared()
		n.Handle(epoch.Add(time.Millisecond), ack(old, 10))
		at, _ := n.Confirmed()
		require.Equal(t, epoch.Add(-10*time.Millisecond), at)
		m := n.message(epoch.Add(1500*time.Microsecond), KindPing)
		require.EqualValues(t, 12, m.ConfirmedAgeMillis)
	})
	t.Run("a dead member counts as known until it is forgotten", func(t *testing.T) {
		n := prepared()
		n.Handle(epoch, Message{Kind: KindLeave, Sender: older, Updates: []Update{withStatus(old, StatusDead)}})
		n.Handle(epoch, Message{Kind: KindLeave, Sender: withStatus(older, StatusLeft)})
		require.False(t, n.ReachesMajority(epoch))
		n.ForgetDead(epoch, func(m Member) bool { return m.Address() != old.Address })
		require.False(t, n.ReachesMajority(epoch))
		n.ForgetDead(epoch, func(m Member) bool { return m.Address() == old.Address })
		require.True(t, n.ReachesMajority(epoch))
	})
	t.Run("records are dropped after their retention", func(t *testing.T) {
		n := prepared()
		n.Handle(epoch, Message{Kind: KindLeave, Sender: withStatus(old, StatusDead)})
		n.forget(epoch.Add(deadRetention))
		require.Equal(t, StatusDead, status(n, old))
		n.forget(epoch.Add(deadRetention + 1))
		require.Empty(t, n.records)
		require.Empty(t, n.sortedRecords)
		require.Empty(t, n.byAddress)
	})
	t.Run("a message over the bound is ignored", func(t *testing.T) {
		n := prepared()
		updates := make([]Update, MaxUpdates+1)
		updates[0] = newer
		n.Handle(epoch, Message{Kind: KindLeave, Sender: old, Updates: updates})
		require.Equal(t, StatusAlive, status(n, old))
	})
	t.Run("a suspicion of the node itself is refuted", func(t *testing.T) {
		n := prepared()
		suspect := n.self
		suspect.Status = StatusSuspect
		n.Handle(epoch, Message{Kind: KindLeave, Sender: old, Updates: []Update{suspect}})
		require.EqualValues(t, 1, n.self.Counter)
	})
}
