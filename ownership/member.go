package ownership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/provider"
)

// Member is a session as this process last read it.
type Member struct {
	Process, DataCentre         string
	Incarnation                 uint64
	RelayAddress, CallerAddress string
	// State is also Expired if the row is live but had not been renewed for TTL +
	// Margin at the last read. Time without a successful read does not count, so
	// members do not expire while the platform is unreachable.
	State State
}

// observedSession is a session row and the times at which this process first
// read its version and its incarnation.
type observedSession struct {
	row              *sessionRow
	version          uint64
	unchangedSince   time.Time // receipt of the first read that returned this version
	incarnationSince time.Time // receipt of the first read that returned this incarnation
}

// Members returns the last known sessions of all data centres, sorted by process.
func (s *Session) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ms []Member
	for _, e := range s.members {
		state := e.row.State
		if !s.isLive(e) && state == Live {
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

// LiveCount returns the number of live sessions of all data centres at
// the last read.
func (s *Session) LiveCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.members {
		if s.isLive(e) {
			n++
		}
	}
	return n
}

// isLive reports whether the row was live and not due to be expired when the
// sessions were last read. The caller holds mu.
func (s *Session) isLive(e *observedSession) bool {
	return e.row.State == Live && (e.row.Process == s.Process || s.membersReadAt.Sub(e.unchangedSince) < s.expiryTimeout())
}

// expiryTimeout returns how long a row must stay unchanged before it is expired.
func (s *Session) expiryTimeout() time.Duration { return s.TTL + s.Margin }

// readDue reports whether the sessions are to be read again. Reading later only
// delays the expiry of other sessions, because the age of a row counts from the
// read that first returned it.
func (s *Session) readDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ReadBudget <= 0 || s.membersReadBy != s.ownRow.id() {
		return true
	}
	every := time.Duration(float64(s.membersReadBytes) / float64(s.ReadBudget) * float64(time.Second))
	return now.Sub(s.membersReadAt) >= min(every, s.TTL/2)-s.RenewEvery/2
}

// observeMembers reads all session rows and expires those that have not been
// renewed in time. After an expiry it reads them again, so that takeovers can
// start.
func (s *Session) observeMembers(ctx context.Context) error {
	now, err := s.readMembers(ctx)
	if err != nil {
		return err
	}
	expired, err := s.expireStale(ctx, now)
	if err != nil || !expired {
		return err
	}
	_, err = s.readMembers(ctx)
	return err
}

// readMembers reads all session rows and returns the time at which they were
// received. A row was committed before it was received, so its commit always
// precedes its unchangedSince.
func (s *Session) readMembers(ctx context.Context) (now time.Time, err error) {
	rows, err := readAll(ctx, s.Table, sessionPrefix, s.RenewEvery/callTimeoutDivisor)
	s.recordTableResult(err)
	if err != nil {
		return now, err
	}
	now = time.Now()
	if err := s.updateMembers(rows, now); err != nil {
		s.reportError(err)
	}
	return now, nil
}

// updateMembers records the rows that have changed and returns an error for
// those that cannot be decoded.
func (s *Session) updateMembers(rows []provider.Row, now time.Time) error {
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
		s.updateMember(r, row, now)
	}
	s.membersReadBy, s.membersReadAt = s.ownRow.id(), now
	s.membersReadBytes = estimateReadBytes(rows)
	return errors.Join(errs...)
}

func (s *Session) updateMember(r provider.Row, row *sessionRow, now time.Time) {
	e := &observedSession{row: row, version: r.Version, unchangedSince: now, incarnationSince: now}
	if old := s.members[r.Key]; old != nil && old.row.sameStart(row) {
		e.incarnationSince = old.incarnationSince
	}
	if row.State == Live {
		// A pending write of the expiry expects an older version and cannot succeed.
		delete(s.promiseRefused, row.id())
	} else {
		select {
		case s.memberEnded <- struct{}{}:
		default:
		}
	}
	s.members[r.Key] = e
}

// nextExpiry returns the earliest time after now at which a member of the data
// centre is due to be expired, or the zero time if there is none.
func (s *Session) nextExpiry(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	for _, e := range s.members {
		if e.row.DataCentre != s.DataCentre || e.row.Process == s.Process || e.row.State != Live {
			continue
		}
		if due := e.unchangedSince.Add(s.expiryTimeout()); due.After(now) && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

// expireStale marks the sessions of the data centre expired that have not been
// renewed in time, and reports whether it attempted any write.
func (s *Session) expireStale(ctx context.Context, now time.Time) (wrote bool, err error) {
	for key, e := range s.markExpiring(now) {
		row := *e.row
		row.State, row.ExpiredBy = Expired, s.ID()
		value := encode(&row)
		_, err := s.commit(ctx, provider.Update(key, value, e.version))
		wrote = true
		if errors.Is(err, provider.ErrConflict) || errors.Is(err, provider.ErrOutcomeUnknown) {
			continue // the next read shows the row as it is
		}
		if err != nil {
			return wrote, err
		}
	}
	return wrote, nil
}

// markExpiring returns the sessions that are due to be expired. It marks them
// before the write is sent, so that this process gives them no promise after it.
func (s *Session) markExpiring(now time.Time) map[string]*observedSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := map[string]*observedSession{}
	for key, e := range s.members {
		if e.row.DataCentre != s.DataCentre || e.row.Process == s.Process || e.row.State != Live {
			continue
		}
		id := e.row.id()
		if now.Sub(e.unchangedSince) < s.expiryTimeout() || now.Before(s.promisedUntil[id]) {
			continue
		}
		s.promiseRefused[id] = true
		due[key] = e
	}
	return due
}

// liveProcesses returns the live processes of the data centre, each with the
// time at which this process first read its current incarnation.
func (s *Session) liveProcesses() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := map[string]time.Time{}
	for _, e := range s.members {
		if e.row.DataCentre == s.DataCentre && s.isLive(e) {
			live[e.row.Process] = e.incarnationSince
		}
	}
	return live
}

// isTerminated reports whether the session can no longer be renewed and its
// deadline has passed, including any promise that this process gave to it.
func (s *Session) isTerminated(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.promisedUntil[id]) {
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
		return false // the session registered after the last read
	}
	if p := e.row.Previous; p != nil && sessionID(e.row.Process, p.Incarnation) == id && p.State != Live {
		return true
	}
	// Replaced while live: its last renewal was written before the row of the
	// later incarnation, so its deadline has passed after expiryTimeout.
	return now.Sub(e.incarnationSince) >= s.expiryTimeout()
}

// recordOf returns the record of a session from its process's row, or nil if
// the row does not hold it any more. The caller holds mu.
func (s *Session) recordOf(id string) *sessionRecord {
	e := s.members[sessionPrefix+processOf(id)]
	switch {
	case e == nil:
		return nil
	case e.row.id() == id:
		return e.row.record()
	case e.row.Previous != nil && sessionID(e.row.Process, e.row.Previous.Incarnation) == id:
		return e.row.Previous
	}
	return nil
}

// readAll reads every row whose key starts with prefix, one page at a time.
// timeout applies to each page.
func readAll(ctx context.Context, t provider.Reader, prefix string, timeout time.Duration) ([]provider.Row, error) {
	var rows []provider.Row
	after := ""
	for {
		page, err := readPage(ctx, t, prefix, after, timeout)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < pageSize {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// rowOverhead is the approximate size of a row on the wire without its key and
// value.
const rowOverhead = 40 // bytes

// estimateReadBytes estimates the bytes transferred by a read of rows, whose
// values are encoded in base64.
func estimateReadBytes(rows []provider.Row) int {
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
