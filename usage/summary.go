package usage

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Amount is a quantity of resources multiplied by milliseconds.
type Amount = resource.Vector

// Line is the usage of one organisation and class.
type Line struct {
	Organisation string      `json:"organisation"`
	Class        class.Class `json:"class"`
	Reserved     Amount      `json:"reserved"`
	Used         Amount      `json:"used"`
	Slack        Amount      `json:"slack"`
	Waste        Amount      `json:"waste"`
	Unknown      Amount      `json:"unknown"`
}

// Summary is the usage of the pool between From and To. All amounts are in
// thousandths of a core, megabytes and accelerators, multiplied by
// milliseconds.
type Summary struct {
	From      time.Time `json:"from"`
	To        time.Time `json:"to"`
	Capacity  Amount    `json:"capacity"`
	Idle      Amount    `json:"idle"`
	Uncovered Amount    `json:"uncovered"`
	Lines     []Line    `json:"lines"`
}

// Summary computes the totals of the time between from and to.
func (b *Book) Summary(from, to time.Time) Summary {
	s := Summary{From: from.UTC(), To: to.UTC(), Lines: []Line{}}
	start, end := from.UnixMilli(), to.UnixMilli()
	for _, spans := range b.workers {
		forEachInterval(spans, start, end, func(p Span, millis int64) { s.Capacity = s.Capacity.Add(p.Amount.Scale(millis)) })
	}
	lines := make(map[Attempt]*Line) // keys have only Organisation and Class set
	for a, c := range b.attempts {
		key := Attempt{Organisation: a.Organisation, Class: a.Class}
		forEachInterval(c.spans, start, end, func(p Span, millis int64) {
			if lines[key] == nil {
				lines[key] = &Line{Organisation: a.Organisation, Class: a.Class}
			}
			lines[key].add(p, c.end, millis)
		})
	}
	for _, l := range lines {
		s.Lines = append(s.Lines, *l)
	}
	slices.SortFunc(s.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class))
	})
	rest := s.Capacity.Sub(s.Reserved())
	s.Idle = rest.Max(Amount{})
	s.Uncovered = Amount{}.Sub(rest).Max(Amount{})
	return s
}

// add counts millis of an attempt's time, covered by the span p.
func (l *Line) add(p Span, end End, millis int64) {
	reserved := p.Amount.Scale(millis)
	l.Reserved = l.Reserved.Add(reserved)
	if p.Used == nil {
		l.Unknown = l.Unknown.Add(reserved)
		return
	}
	used := componentMin(p.Used.Max(Amount{}), p.Amount).Scale(millis)
	slack := componentMin(reserved.Sub(used), used)
	l.Slack = l.Slack.Add(slack)
	waste := reserved.Sub(used).Sub(slack)
	if end == EndDone || end == "" {
		l.Used = l.Used.Add(used)
	} else {
		waste = waste.Add(used)
	}
	l.Waste = l.Waste.Add(waste)
}

func componentMin(a, b Amount) Amount {
	return Amount{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// Reserved returns the total reserved amount of all lines.
func (s Summary) Reserved() Amount {
	var sum Amount
	for _, l := range s.Lines {
		sum = sum.Add(l.Reserved)
	}
	return sum
}

// CheckBalance checks the two equations of the package comment. It returns an error
// that describes the first one that does not hold.
func (s Summary) CheckBalance() error {
	for _, l := range s.Lines {
		if parts := l.Used.Add(l.Slack).Add(l.Waste).Add(l.Unknown); parts != l.Reserved {
			return fmt.Errorf("accounts of %s %s: parts %v are not the reserved %v", l.Organisation, l.Class, parts, l.Reserved)
		}
	}
	if left, right := s.Capacity.Add(s.Uncovered), s.Idle.Add(s.Reserved()); left != right {
		return fmt.Errorf("accounts of the pool: capacity with uncovered %v is not idle with reserved %v", left, right)
	}
	return nil
}

// JSON returns the summary as indented JSON.
func (s Summary) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode accounts: %w", err)
	}
	return data, nil
}

var csvHeader = []string{"organisation", "class", "part", "core-seconds", "memory-mb-seconds", "accelerator-seconds"}

// CSV returns the summary as CSV: a row for each part of each line, followed by
// the rows of the pool.
func (s Summary) CSV() string {
	var b strings.Builder
	w := csv.NewWriter(&b)
	_ = w.Write(csvHeader) // writing to a strings.Builder cannot fail
	row := func(organisation, class, part string, a Amount) {
		_ = w.Write([]string{
			organisation, class, part, decimal(a.MilliCPU, 6), decimal(a.MemoryMB, 3), decimal(a.Accelerators, 3),
		})
	}
	for _, l := range s.Lines {
		row(l.Organisation, string(l.Class), "reserved", l.Reserved)
		row(l.Organisation, string(l.Class), "used", l.Used)
		row(l.Organisation, string(l.Class), "slack", l.Slack)
		row(l.Organisation, string(l.Class), "waste", l.Waste)
		row(l.Organisation, string(l.Class), "unknown", l.Unknown)
	}
	row("", "", "capacity", s.Capacity)
	row("", "", "idle", s.Idle)
	row("", "", "uncovered", s.Uncovered)
	w.Flush()
	return b.String()
}

// decimal formats n divided by 10 to the power of digits, exactly. n must not
// be negative, which holds for all amounts of a Summary.
func decimal(n int64, digits int) string {
	scale := int64(1)
	for range digits {
		scale *= 10
	}
	return fmt.Sprintf("%d.%0*d", n/scale, digits, n%scale)
}
