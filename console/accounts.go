package console

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"persimmonworks.example/persimmonworks/accounts"
	"persimmonworks.example/persimmonworks/burn"
	"persimmonworks.example/persimmonworks/gateway"
	"persimmonworks.example/persimmonworks/pool"
	"persimmonworks.example/persimmonworks/usage"
)

// Usage is the answer about accounts.
type Usage struct {
	usage.Summary
	// Missing names processes whose newest accounts are not in the sums, and
	// "archive" if the platform is away.
	Missing []string `json:"missing,omitempty"`
	// Unclosed says which sum does not close; empty for sound accounts.
	Unclosed string `json:"unclosed,omitempty"`
}

const (
	nowWindow     = time.Minute // what "now" means
	longestPeriod = 40 * 24 * time.Hour
)

// usage answers for a period: from and to, or the last of a duration that ends
// now; without any, the last minute.
func (s *Server) usage(w http.ResponseWriter, r *http.Request, _ *pool.Operator) {
	if passedOn(r) {
		gateway.WriteJSON(w, http.StatusOK, s.Accounts.Unstored())
		return
	}
	from, to, err := periodOf(r, time.Now())
	if err != nil {
		refuse(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	book, err := s.Archive.Load(r.Context(), from.Truncate(accounts.Period), to)
	var missing []string
	if err != nil { // the platform is away: show what the processes have
		book, missing = &usage.Book{}, []string{"archive"}
	}
	for _, record := range s.Accounts.Unstored() {
		book.Merge(record)
	}
	missing = append(missing, s.gather(r, "/v1/operator/usage", func(_ string, body []byte) error {
		var records []usage.Record
		if err := json.Unmarshal(body, &records); err != nil {
			return err
		}
		for _, record := range records {
			book.Merge(record)
		}
		return nil
	})...)
	answer := Usage{Summary: book.Summary(from, to), Missing: missing}
	if err := answer.CheckBalance(); err != nil {
		answer.Unclosed = err.Error()
	}
	note(w, missing)
	if wants(r, "text/csv") {
		w.Header().Set("Content-Type", "text/csv; charset=utf-8")
		_, _ = w.Write([]byte(answer.CSV())) // the caller is gone if this fails
		return
	}
	gateway.WriteJSON(w, http.StatusOK, answer)
}

func periodOf(r *http.Request, now time.Time) (from, to time.Time, err error) {
	q := r.URL.Query()
	from, to = now.Add(-nowWindow), now
	if text := q.Get("last"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return from, to, fmt.Errorf("last: %q is not a time such as 90m", text)
		}
		from = now.Add(-d)
	}
	for name, at := range map[string]*time.Time{"from": &from, "to": &to} {
		text := q.Get(name)
		if text == "" {
			continue
		}
		if *at, err = time.Parse(time.RFC3339, text); err != nil {
			return from, to, fmt.Errorf("%s: %q is not a time such as 2026-12-04T06:00:00Z", name, text)
		}
	}
	if !from.Before(to) || to.Sub(from) > longestPeriod {
		return from, to, fmt.Errorf("from and to: %v is not between 0 and %v", to.Sub(from), longestPeriod)
	}
	return from, to, nil
}

// burnPart is the counts of one start of a process.
type burnPart struct {
	Start  string        `json:"start"`
	Counts burn.Snapshot `json:"counts"`
}

// burn answers with the burn of all processes, those that are gone included.
func (s *Server) burn(w http.ResponseWriter, r *http.Request, _ *pool.Operator) {
	if passedOn(r) {
		gateway.WriteJSON(w, http.StatusOK, burnPart{s.RunID, s.Burn.Snapshot()})
		return
	}
	have := map[string]bool{s.RunID: true}
	var others []burn.Snapshot
	missing := s.gather(r, "/v1/operator/burn", func(_ string, body []byte) error {
		var p burnPart
		err := json.Unmarshal(body, &p)
		if err == nil {
			have[p.Start] = true
			others = append(others, p.Counts)
		}
		return err
	})
	kept, err := s.BurnArchive.Load(r.Context(), have)
	if err != nil {
		missing = append(missing, "archive") // the platform is away: show what the processes have
	}
	now := time.Now()
	report := burn.NewReport(s.Chain.Current().Configuration.Objectives, burn.Merge(s.Burn.Snapshot(), append(others, kept...)...), now)
	note(w, missing)
	switch {
	case wants(r, "text/html"):
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		_ = report.WriteHTML(w) // the caller is gone if this fails
	case wants(r, "text/plain"):
		writeText(w, http.StatusOK, report.Text())
	default:
		gateway.WriteJSON(w, http.StatusOK, report)
	}
}
