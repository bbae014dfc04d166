package ownership

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"persimmonworks.example/persimmonworks/provider"
)

// State is the state of a session as recorded in its row.
type State string

// States of a session.
const (
	Live    State = "live"
	Ended   State = "ended"   // ended by the session itself at a graceful shutdown
	Expired State = "expired" // marked by a peer
)

const sessionPrefix = "session/"

// sessionRow is the value of the row session/<process>. It is written only by
// the session itself, by a peer that relays the session's bytes, or by a peer
// that expires the session. Every write increases the version of the row.
type sessionRow struct {
	Process       string         `json:"process"`
	Incarnation   uint64         `json:"incarnation"`
	Nonce         uint64         `json:"nonce"`
	Sequence      uint64         `json:"sequence"`
	State         State          `json:"state"`
	DataCentre    string         `json:"data-centre"`
	RelayAddress  string         `json:"relay-address"`
	CallerAddress string         `json:"caller-address"`
	Witnesses     []string       `json:"witnesses,omitempty"`
	ExpiredBy     string         `json:"expired-by,omitempty"`
	Previous      *sessionRecord `json:"previous,omitempty"`
}

// sessionRecord is the part of a session row that is kept after a later
// incarnation has replaced it. A process that takes over shards of the replaced
// session needs it.
type sessionRecord struct {
	Incarnation uint64   `json:"incarnation"`
	State       State    `json:"state"`
	Witnesses   []string `json:"witnesses,omitempty"`
	ExpiredBy   string   `json:"expired-by,omitempty"`
}

// id returns the session's ID, which is unique to one start of the process.
func (r *sessionRow) id() string { return sessionID(r.Process, r.Incarnation) }

func (r *sessionRow) record() *sessionRecord {
	return &sessionRecord{Incarnation: r.Incarnation, State: r.State, Witnesses: r.Witnesses, ExpiredBy: r.ExpiredBy}
}

// sameStart reports whether both rows belong to the same process start.
func (r *sessionRow) sameStart(other *sessionRow) bool {
	return r.Process == other.Process && r.Incarnation == other.Incarnation && r.Nonce == other.Nonce
}

func sessionID(process string, incarnation uint64) string {
	return fmt.Sprintf("%s@%d", process, incarnation)
}

// incarnationOf returns the incarnation in a session ID, 0 if it has none.
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
	Session  string `json:"session"` // session of the owner, or of the last owner after a release
	Epoch    uint64 `json:"epoch"`
	Released bool   `json:"released,omitempty"`
	// Unsettled lists the sessions of earlier owners whose commands some worker of
	// the shard may still accept, because the shard changed its owner before every
	// worker had accepted the new epoch.
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
		panic(err) // cannot happen: the row types have only fields that JSON can encode
	}
	return b
}
