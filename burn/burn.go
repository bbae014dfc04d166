// Package burn reports how fast requests use up the error budgets of
// service-level objectives.
//
// For each objective, a Ledger counts the requests that met it and those that
// did not because they failed, were refused or exceeded the objective's
// latency. Counts are kept in buckets of one minute for 6 h and of one hour for
// 90 days, so the size of a ledger depends on the number of objectives and not
// on traffic. Each bucket keeps a few exemplars, the slowest of the requests
// that missed the objective.
//
// Processes exchange Snapshots, which Merge adds up in any order. A burn rate
// of 1 uses exactly the budget of the window; a rate of 14.4 uses up a
// thirty-day budget in about two days.
//
// Usage:
//
//	l := burn.Ledger{Objectives: current.Configuration.Objectives}
//	l.Record(burn.Request{Organisation: "prado", Class: class.Urgent, Latency: took, Succeeded: true, At: now})
//	report := burn.NewReport(l.Objectives, burn.Merge(l.Snapshot(), others...), now)
//	fmt.Print(report.Text())
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/pool"
)

const (
	minutesKept  = 6 * 60
	hoursKept    = 90 * 24
	maxExemplars = 4 // per bucket
	maxIDLength  = 64
)

// Request is a completed request.
type Request struct {
	ID           string
	Organisation string
	Class        class.Class
	Latency      time.Duration // from acceptance to the end of the answer
	Succeeded    bool          // false if it failed, was refused or has an unknown outcome
	At           time.Time
}

// Exemplar is a sample of the requests that missed an objective.
type Exemplar struct {
	ID       string        `json:"id"`
	Latency  time.Duration `json:"latency-ns"`
	Answered bool          `json:"answered"`
	At       time.Time     `json:"at"`
}

// Bucket counts the requests of one minute or hour. Index is the number of
// minutes or hours since the Unix epoch.
type Bucket struct {
	Index     int64      `json:"index"`
	Good      uint64     `json:"good"`
	Bad       uint64     `json:"bad"`
	Exemplars []Exemplar `json:"exemplars,omitempty"` // slowest first
}

// Key identifies an objective.
type Key struct {
	Organisation string      `json:"organisation"`
	Class        class.Class `json:"class"`
}

// Series holds the buckets of one objective, sorted by index.
type Series struct {
	Key
	Minutes []Bucket `json:"minutes"`
	Hours   []Bucket `json:"hours"`
}

// Snapshot holds the series of one process, or of several after Merge, sorted
// by key.
type Snapshot struct {
	Series []Series `json:"series"`
}

// Ledger counts requests by objective. Set Objectives before the first Record
// and use SetObjectives afterwards. Its methods are safe for concurrent use.
type Ledger struct {
	Objectives []pool.Objective

	mu     sync.Mutex
	byKey  map[Key]pool.Objective // built on first use; nil until then
	series map[Key]*Series
}

// SetObjectives replaces the objectives and drops the series of objectives that
// no longer exist.
func (l *Ledger) SetObjectives(objectives []pool.Objective) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Objectives = slices.Clone(objectives)
	l.byKey = nil
	for k := range l.series {
		if _, found := l.objective(k); !found {
			delete(l.series, k)
		}
	}
}

func (l *Ledger) objective(k Key) (pool.Objective, bool) {
	if l.byKey == nil {
		l.byKey = make(map[Key]pool.Objective, len(l.Objectives))
		for _, o := range l.Objectives {
			l.byKey[Key{o.Organisation, o.Class}] = o
		}
	}
	o, found := l.byKey[k]
	return o, found
}

// Record counts a request. A request without an objective is ignored.
func (l *Ledger) Record(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := Key{r.Organisation, r.Class}
	o, found := l.objective(k)
	if !found {
		return
	}
	if l.series == nil {
		l.series = make(map[Key]*Series)
	}
	s := l.series[k]
	if s == nil {
		s = &Series{Key: k}
		l.series[k] = s
	}
	single := Bucket{Good: 1}
	if !r.Succeeded || r.Latency > o.Latency {
		id := r.ID[:min(len(r.ID), maxIDLength)]
		single = Bucket{Bad: 1, Exemplars: []Exemplar{{id, r.Latency, r.Succeeded, r.At.UTC()}}}
	}
	single.Index = indexAt(r.At, time.Minute)
	s.Minutes = addToBuckets(s.Minutes, single, minutesKept)
	single.Index = indexAt(r.At, time.Hour)
	s.Hours = addToBuckets(s.Hours, single, hoursKept)
}

// indexAt returns the index of the bucket of the given width that contains at.
func indexAt(at time.Time, width time.Duration) int64 { return at.Unix() / int64(width/time.Second) }

// addToBuckets adds b to the bucket with the same index, or inserts it. It then
// drops all buckets whose index is lower than the newest by kept or more.
func addToBuckets(buckets []Bucket, b Bucket, kept int64) []Bucket {
	i, found := slices.BinarySearchFunc(buckets, b.Index, func(b Bucket, at int64) int { return cmp.Compare(b.Index, at) })
	if found {
		buckets[i] = sumBuckets(buckets[i], b)
	} else {
		buckets = slices.Insert(buckets, i, b)
	}
	oldest := buckets[len(buckets)-1].Index - kept
	for len(buckets) > 0 && buckets[0].Index <= oldest {
		buckets = buckets[1:]
	}
	return buckets
}

func sumBuckets(a, b Bucket) Bucket {
	a.Good += b.Good
	a.Bad += b.Bad
	a.Exemplars = mergeExemplars(a.Exemplars, b.Exemplars)
	return a
}

// mergeExemplars returns the slowest exemplars of both lists. The sort order is
// total, so the result does not depend on the order of merging.
func mergeExemplars(a, b []Exemplar) []Exemplar {
	if len(b) == 0 {
		return a
	}
	all := slices.Concat(a, b)
	slices.SortFunc(all, func(a, b Exemplar) int {
		return cmp.Or(cmp.Compare(b.Latency, a.Latency), a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return all[:min(len(all), maxExemplars)]
}

// Snapshot returns a copy of the counts.
func (l *Ledger) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	var s Snapshot
	for _, series := range l.series {
		s.Series = append(s.Series, Series{series.Key, slices.Clone(series.Minutes), slices.Clone(series.Hours)})
	}
	slices.SortFunc(s.Series, compareSeries)
	return s
}

func compareSeries(a, b Series) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
}

// Merge adds up the snapshots of several processes without modifying them.
func Merge(first Snapshot, others ...Snapshot) Snapshot {
	merged := make(map[Key]*Series)
	for _, snapshot := range append([]Snapshot{first}, others...) {
		for _, s := range snapshot.Series {
			m := merged[s.Key]
			if m == nil {
				m = &Series{Key: s.Key}
				merged[s.Key] = m
			}
			for _, b := range s.Minutes {
				m.Minutes = addToBuckets(m.Minutes, b, minutesKept)
			}
			for _, b := range s.Hours {
				m.Hours = addToBuckets(m.Hours, b, hoursKept)
			}
		}
	}
	var s Snapshot
	for _, m := range merged {
		s.Series = append(s.Series, *m)
	}
	slices.SortFunc(s.Series, compareSeries)
	return s
}
