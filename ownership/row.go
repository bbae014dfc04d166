package ownership

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"persimmonworks.example/persimmonworks/provider"
)

// State is what a session row says of its session.
type State string

// States of a session.
const (
	Live    State = "live"
	Ended   State = "ended"   // gracefully, by itself
	Expired State = "expired" // by a peer
)

const sessionPrefix = "session/"

// sessionRow is the value of the row session/<process>. Only the session
// itself, a relay of its bytes, or an expiry changes it; each raises version.
type sessionRow struct {
	Process       string   `json:"process"`
	Incarnation   uint64   `json:"incarnation"`
	Nonce         uint64   `json:"nonce"`
	Sequence      uint64   `json:"sequence"`
	State         State    `json:"state"`
	DataCentre    string   `json:"data-centre"`
	RelayAddress  string   `json:"relay-address"`
	CallerAddress string   `json:"caller-address"`
	Witnesses     []string `json:"witnesses,omitempty"`
	ExpiredBy     string   `json:"expired-by,omitempty"`
	Previous      *past    `json:"previous,omitempty"`
}

// past keeps what a successor must know of the incarnation that a row replaced.
type past struct {
	Incarnation uint64   `json:"incarnation"`
	State       State    `json:"state"`
	Witnesses   []string `json:"witnesses,omitempty"`
	ExpiredBy   string   `json:"expired-by,omitempty"`
}

// id names one start of a process.
func (r *sessionRow) id() string { return sessionID(r.Process, r.Incarnation) }

func (r *sessionRow) past() *past {
	return &past{Incarnation: r.Incarnation, State: r.State, Witnesses: r.Witnesses, ExpiredBy: r.ExpiredBy}
}

// sameStart reports whether both rows were written for one process start.
func (r *sessionRow) sameStart(o *sessionRow) bool {
	return r.Process == o.Process && r.Incarnation == o.Incarnation && r.Nonce == o.Nonce
}

func sessionID(process string, incarnation uint64) string {
	return fmt.Sprintf("%s@%d", process, incarnation)
}

// incarnationOf returns the start number in a session's name, 0 if it has none.
func incarnationOf(session string) uint64 {
	_, digits, _ := strings.Cut(session, "@")
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func processOf(session string) string {
	process, _, _ := strings.Cut(session, "@")
	return process
}

// shardRow is the value of the row shard/<data centre>/<name>.
type shardRow struct {
	Session  string `json:"session"` // of the owner or of the last owner
	Epoch    uint64 `json:"epoch"`
	Released bool   `json:"released,omitempty"`
	// Unsettled lists earlier owners that some worker of the shard may still
	// obey: the shard changed hands before every worker was fenced.
	Unsettled []string `json:"unsettled,omitempty"`
}

func shardPrefix(dataCentre string) string { return "shard/" + dataCentre + "/" }

func decode[T any](r provider.Row) (*T, error) {
	v := new(T)
	if err := json.Unmarshal(r.Value, v); err != nil {
		return nil, fmt.Errorf("row %q version %d is not valid, restore or remove it: %w", r.Key, r.Version, err)
	}
	return v, nil
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the row types hold nothing that cannot be encoded
	}
	return b
}
