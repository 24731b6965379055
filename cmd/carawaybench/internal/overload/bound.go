package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// bucket is the resolution of the bound. Windows are rounded to more, so that it remains a bound.
const bucket = 100 * time.Millisecond

// job is a set of requests of a kind that arrive in one bucket, with one of the ways to serve them.
type job struct {
	from, to int     // buckets in which they can be served, to excluded
	rank     int     // 0 is served first
	set      int     // of requests, which a job on time and a late one share
	work     float64 // slot seconds of all
	worth    float64 // of all
}

// Bounds are the shares of the worth of all requests that placements do not exceed.
type Bounds struct {
	// allKnown is that of every placement.
	allKnown float64
	// lengthsUnknown is that of a placement that knows the mean service time of a kind, and not
	// that of a request, and offers no more requests to an endpoint in a spell than its slots take
	// at once, in the mean over many runs.
	lengthsUnknown float64
	// byRank is the same if more urgent kinds always go first.
	byRank float64
}

// AllKnown returns the bound of every placement.
func (b Bounds) AllKnown() float64 { return b.allKnown }

// LengthsUnknown returns the bound, in the mean, of a placement that knows kinds only.
func (b Bounds) LengthsUnknown() float64 { return b.lengthsUnknown }

// ByRank returns the same of one that serves more urgent kinds first.
func (b Bounds) ByRank() float64 { return b.byRank }

// BoundsOf returns the bounds over the runs of a scenario at a load with seeds from 1 on.
func BoundsOf(s *Scenario, load float64, seeds uint64) Bounds {
	var sum Bounds
	possible := 0.0
	for seed := uint64(1); seed <= seeds; seed++ {
		t := newTrace(s, load, seed)
		sum.allKnown += t.bound(knowledge{lengths: true, spends: true})
		sum.lengthsUnknown += t.bound(knowledge{})
		sum.byRank += t.bound(knowledge{byRank: true})
		for _, a := range t.arrivals {
			possible += s.kinds[a.kind].worth
		}
	}
	return Bounds{allKnown: sum.allKnown / possible, lengthsUnknown: sum.lengthsUnknown / possible, byRank: sum.byRank / possible}
}

// knowledge is what a bound lets a placement know and do.
type knowledge struct {
	lengths bool // the service time of each request, and not only the mean of its kind
	// spends lets failed requests cost nothing, so that an endpoint in a spell is offered so many
	// that its slots are always in use.
	spends bool
	byRank bool // more urgent kinds go first, whatever they are worth
}

// bound returns the greatest worth that a placement could reach which knows all requests and failures
// in advance, may serve a request in parts and at several endpoints at once, and never loses an
// attempt. What is feasible then is a polymatroid, over which the jobs with the greatest worth per
// work are best chosen first.
func (t *trace) bound(known knowledge) float64 {
	buckets := int((t.length + tail) / bucket)
	jobs, work := t.jobs(buckets, known)
	slack := newSlack(t.capacity(buckets, known))
	total := 0.0
	for _, j := range jobs {
		left := work[j.set]
		if left <= 0 {
			continue
		}
		served := min(left, slack.within(j.from, j.to))
		if served <= 0 {
			continue
		}
		slack.take(j.from, j.to, served)
		work[j.set] -= served
		total += j.worth * served / j.work
	}
	return total
}

// workClasses divide the requests of a bucket by their service time, because short ones are worth
// more per work.
const workClasses = 4

// meanWork returns the mean service time of the requests of each kind in this trace.
func (t *trace) meanWork() []time.Duration {
	sums, counts := make([]time.Duration, len(t.kinds)), make([]int, len(t.kinds))
	for _, a := range t.arrivals {
		sums[a.kind] += a.work
		counts[a.kind]++
	}
	for i := range sums {
		sums[i] /= time.Duration(max(1, counts[i]))
	}
	return sums
}

// jobs returns the jobs in the order in which they are best chosen, by falling worth per work, and
// the work of each set of requests.
func (t *trace) jobs(buckets int, known knowledge) ([]job, []float64) {
	type key struct{ bucket, kind, class int }
	indexes := map[key]int{}
	var jobs []job
	var work []float64
	means := t.meanWork()
	for _, a := range t.arrivals {
		k := t.kinds[a.kind]
		if !known.lengths {
			a.work = means[a.kind]
		}
		rank := 0
		if known.byRank {
			rank = k.priority
		}
		class := int(min(workClasses-1, max(0, workClasses/2+math.Floor(math.Log(float64(a.work)/float64(k.work))/max(k.logStdDev, 0.01)))))
		id := key{bucket: int(a.at / bucket), kind: a.kind, class: class}
		set, found := indexes[id]
		if !found {
			set = len(work)
			indexes[id] = set
			work = append(work, 0)
			end := func(d time.Duration) int { return min(buckets, int((a.at+d)/bucket)+2) }
			jobs = append(jobs, job{from: id.bucket, to: end(k.aim), set: set, rank: rank}, job{from: id.bucket, to: end(k.budget), set: set, rank: rank})
		}
		work[set] += a.work.Seconds()
		jobs[2*set].worth += k.worth
		jobs[2*set+1].worth += k.lateWorth
	}
	for i := range jobs {
		jobs[i].work = work[jobs[i].set]
	}
	slices.SortStableFunc(jobs, func(a, b job) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.worth/b.work, a.worth/a.work))
	})
	return jobs, work
}

// capacity returns the slot seconds of each bucket. An endpoint in a spell serves the share that it
// does not fail, unless failed requests cost nothing; one that sheds serves what it is offered often
// enough.
func (t *trace) capacity(buckets int, known knowledge) []float64 {
	list := make([]float64, buckets)
	for b := range list {
		for i := range t.endpoints {
			c := t.conditionAt(i, time.Duration(b)*bucket)
			if known.spends {
				c.errors = 0
			}
			if !c.gone {
				list[b] += float64(t.slots) * bucket.Seconds() * (1 - c.errors) / c.slowdown
			}
		}
	}
	return list
}

// slack holds, for each range of buckets, the capacity that the jobs within it leave.
type slack struct {
	size int
	left []float64 // by first bucket, then by the end
}

func newSlack(capacity []float64) *slack {
	s := &slack{size: len(capacity) + 1, left: make([]float64, (len(capacity)+1)*(len(capacity)+1))}
	for from := range capacity {
		sum := 0.0
		for to := from + 1; to < s.size; to++ {
			sum += capacity[to-1]
			s.left[from*s.size+to] = sum
		}
	}
	return s
}

// within returns how much more work fits into a range: each range around it bounds that.
func (s *slack) within(from, to int) float64 {
	least := math.Inf(1)
	for a := range from + 1 {
		least = min(least, slices.Min(s.left[a*s.size+to:(a+1)*s.size]))
	}
	return least
}

func (s *slack) take(from, to int, work float64) {
	for a := range from + 1 {
		row := s.left[a*s.size+to : (a+1)*s.size]
		for i := range row {
			row[i] -= work
		}
	}
}
