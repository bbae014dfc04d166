// Package event writes numbered log events.
//
// Each thing that an operator may have to act upon is an Event of the
// catalogue, with a number that never changes, a level, its meaning and what
// to do. docs/EVENTS.md has a row for each; Page makes it. The hundreds group
// them: 10 process, 11 session, 12 shard, 13 worker, 14 job, 15 platform, 16
// peer, 17 configuration, 18 request, 19 upstream, 20 keys, 21 accounts.
//
// Secrets are never written: a Secret prints as a fixed word whatever the
// format, and so does any value under a key that names a secret.
//
// Usage:
//
//	l := event.Log{Writer: os.Stderr, Process: "entry-1"}
//	l.Emit(event.ShardTaken, "shard", "rack-r1", "epoch", 7)
package event

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/phuslu/log"
)

// Level is the severity of an event.
type Level = log.Level

// Severities of the catalogue.
const (
	Debug = log.DebugLevel
	Info  = log.InfoLevel
	Warn  = log.WarnLevel
	Error = log.ErrorLevel
)

// Event is an entry of the catalogue. Numbers are never used again for
// something else.
type Event struct {
	Number  int
	Level   Level
	Name    string // kebab case
	Meaning string
	Action  string // what the person on call does, "none" if nothing
}

// String returns the number and the name.
func (e *Event) String() string { return fmt.Sprintf("%d %s", e.Number, e.Name) }

var _ fmt.Stringer = (*Event)(nil)

// catalogue holds every event that define was called for.
var catalogue []*Event

func define(number int, level Level, name, meaning, action string) *Event {
	e := &Event{Number: number, Level: level, Name: name, Meaning: meaning, Action: action}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in order of their numbers.
func Catalogue() []*Event {
	all := slices.Clone(catalogue)
	slices.SortFunc(all, func(a, b *Event) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Page returns docs/EVENTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Made from the catalogue in `event/catalogue.go`; `go test ./event -update` writes it again.\n")
	b.WriteString("A line of the log has `event` (the number) and `name`; numbers are never reused.\n\n")
	b.WriteString("| event | level | name | meaning | action |\n|---|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | `%s` | %s | %s |\n", e.Number, e.Level, e.Name, e.Meaning, e.Action)
	}
	return b.String()
}
