package ownership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// Member is a session as this process last saw it.
type Member struct {
	Process, DataCentre         string
	Incarnation                 uint64
	RelayAddress, CallerAddress string
	// State is Expired also for a live row that was not renewed for TTL + Margin
	// until the last observation; nothing ages while the platform is away.
	State State
}

// seen is a session row and when this process first saw it so.
type seen struct {
	row     *sessionRow
	version uint64
	since   time.Time // receipt of the first read that returned this version
	started time.Time // receipt of the first read that returned this incarnation
}

// Members returns the last known sessions of all data centres, by process.
func (s *Session) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ms []Member
	for _, e := range s.members {
		state := e.row.State
		if !s.fresh(e) && state == Live {
			state = Expired
		}
		ms = append(ms, Member{
			e.row.Process, e.row.DataCentre, e.row.Incarnation,
			e.row.RelayAddress, e.row.CallerAddress, state,
		})
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Process, b.Process) })
	return ms
}

// LiveCount returns the number of live sessions of all data centres, as last seen.
func (s *Session) LiveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.members {
		if s.fresh(e) {
			n++
		}
	}
	return n
}

// fresh reports whether the row was live and not due to be expired when the
// sessions were last read; mu is held.
func (s *Session) fresh(e *seen) bool {
	return e.row.State == Live && (e.row.Process == s.Process || s.observedAt.Sub(e.since) < s.observation())
}

// observation is how long a row must stay unchanged before it is expired.
func (s *Session) observation() time.Duration { return s.TTL + s.Margin }

// readDue reports whether the sessions are to be read again. A later read only
// delays the expiry of others, since a row's age counts from the read that
// first returned it.
func (s *Session) readDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ReadBudget <= 0 || s.observed != s.self.id() {
		return true
	}
	every := time.Duration(float64(s.readBytes) / float64(s.ReadBudget) * float64(time.Second))
	return now.Sub(s.observedAt) >= min(every, s.TTL/2)-s.RenewEvery/2
}

// observe reads all session rows and expires those that were silent for too
// long; after an expiry it reads them again, so that takeovers can begin.
func (s *Session) observe(ctx context.Context) error {
	now, err := s.read(ctx)
	if err != nil {
		return err
	}
	expired, err := s.expireSilent(ctx, now)
	if err != nil || !expired {
		return err
	}
	_, err = s.read(ctx)
	return err
}

// read reads all session rows and returns the time of their receipt. Reads
// start after the call's time, so a row's commit precedes since.
func (s *Session) read(ctx context.Context) (now time.Time, err error) {
	rows, err := readAll(ctx, s.Table, sessionPrefix, s.RenewEvery/callsPerRenewal)
	s.noteTable(err)
	if err != nil {
		return now, err
	}
	now = time.Now()
	if err := s.learn(rows, now); err != nil {
		s.report(err)
	}
	return now, nil
}

// learn records the rows that have changed and reports those that are not valid.
func (s *Session) learn(rows []provider.Row, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for _, r := range rows {
		old := s.members[r.Key]
		if old != nil && old.version >= r.Version {
			continue
		}
		row, err := decode[sessionRow](r)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		s.learnRow(r, row, now)
	}
	s.observed, s.observedAt = s.self.id(), now
	s.readBytes = readSize(rows)
	return errors.Join(errs...)
}

func (s *Session) learnRow(r provider.Row, row *sessionRow, now time.Time) {
	e := &seen{row: row, version: r.Version, since: now, started: now}
	if old := s.members[r.Key]; old != nil && old.row.sameStart(row) {
		e.started = old.started
	}
	if row.State == Live {
		// An expiry that was under way expected an older version and cannot succeed.
		delete(s.condemned, row.id())
	} else {
		select {
		case s.ends <- struct{}{}:
		default:
		}
	}
	s.members[r.Key] = e
}

// nextDue returns the time after now at which the next member of the data
// centre has been silent for long enough to be expired, zero if there is none.
func (s *Session) nextDue(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	for _, e := range s.members {
		if e.row.DataCentre != s.DataCentre || e.row.Process == s.Process || e.row.State != Live {
			continue
		}
		if due := e.since.Add(s.observation()); due.After(now) && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

// expireSilent marks sessions of the data centre expired that have not renewed,
// and reports whether it wrote any.
func (s *Session) expireSilent(ctx context.Context, now time.Time) (wrote bool, err error) {
	for key, e := range s.silent(now) {
		row := *e.row
		row.State, row.ExpiredBy = Expired, s.ID()
		value := encode(&row)
		_, err := s.commit(ctx, provider.Update(key, value, e.version))
		wrote = true
		if errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrUnknown) {
			continue // the row is read back
		}
		if err != nil {
			return wrote, err
		}
	}
	return wrote, nil
}

// silent condemns and returns the sessions that are due to be expired. A
// session is condemned before the write is sent, so that no promise follows.
func (s *Session) silent(now time.Time) map[string]*seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := map[string]*seen{}
	for key, e := range s.members {
		if e.row.DataCentre != s.DataCentre || e.row.Process == s.Process || e.row.State != Live {
			continue
		}
		id := e.row.id()
		if now.Sub(e.since) < s.observation() || now.Before(s.promised[id]) {
			continue
		}
		s.condemned[id] = true
		due[key] = e
	}
	return due
}

// liveProcesses returns the live processes of the data centre, with the time
// since when this process knows each.
func (s *Session) liveProcesses() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := map[string]time.Time{}
	for _, e := range s.members {
		if e.row.DataCentre == s.DataCentre && s.fresh(e) {
			live[e.row.Process] = e.started
		}
	}
	return live
}

// gone reports whether the session can no longer be renewed and its own
// deadline has passed, promises that this process gave included.
func (s *Session) gone(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.promised[id]) {
		return false
	}
	e := s.members[sessionPrefix+processOf(id)]
	if e == nil {
		return false
	}
	if e.row.id() == id {
		return e.row.State != Live
	}
	if e.row.Incarnation < incarnationOf(id) {
		return false // the session registered after the last observation
	}
	if p := e.row.Previous; p != nil && sessionID(e.row.Process, p.Incarnation) == id && p.State != Live {
		return true
	}
	// Replaced while live: its last renewal preceded the row that replaced it.
	return now.Sub(e.started) >= s.observation()
}

// pastOf returns what the rows tell of a session, or nil; mu is held.
func (s *Session) pastOf(id string) *past {
	e := s.members[sessionPrefix+processOf(id)]
	switch {
	case e == nil:
		return nil
	case e.row.id() == id:
		return e.row.past()
	case e.row.Previous != nil && sessionID(e.row.Process, e.row.Previous.Incarnation) == id:
		return e.row.Previous
	}
	return nil
}

// readAll reads every row under prefix, a page at a time.
func readAll(ctx context.Context, t provider.Reader, prefix string, timeout time.Duration) ([]provider.Row, error) {
	var all []provider.Row
	after := ""
	for {
		page, err := readPage(ctx, t, prefix, after, timeout)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < pageSize {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

// rowOverhead is about what a row costs on the wire beside its key and value.
const rowOverhead = 40 // bytes

// readSize estimates the bytes that reading rows has moved, with their values
// in base64.
func readSize(rows []provider.Row) int {
	n := 0
	for _, r := range rows {
		n += len(r.Key) + len(r.Value)*4/3 + rowOverhead
	}
	return n
}

func readPage(ctx context.Context, t provider.Reader, prefix, after string, timeout time.Duration) ([]provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.Range(ctx, prefix, after, pageSize)
}
