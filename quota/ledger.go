package quota

import "fmt"

// Ledger is what a docket has given to other dockets and got from them, of the limit of one
// organisation, as totals that only grow. The zero value is ready to use.
type Ledger struct {
	given, received map[int]Parts
}

// Share returns the docket's share of the limit.
func (l *Ledger) Share(number, dockets int) Parts {
	share := Initial(number, dockets)
	if l == nil {
		return share
	}
	for _, total := range l.received {
		share = share.Add(total)
	}
	for _, total := range l.given {
		share = share.Sub(total)
	}
	return share
}

// Given returns the total of what was given to another docket.
func (l *Ledger) Given(to int) Parts {
	if l == nil {
		return Parts{}
	}
	return l.given[to]
}

// Received returns the total of what is known to have come from another docket.
func (l *Ledger) Received(from int) Parts {
	if l == nil {
		return Parts{}
	}
	return l.received[from]
}

// Give raises the total of what was given to another docket.
func (l *Ledger) Give(to int, total Parts) error { return raise(&l.given, to, total) }

// Receive raises the total of what has come from another docket.
func (l *Ledger) Receive(from int, total Parts) error { return raise(&l.received, from, total) }

func raise(totals *map[int]Parts, docket int, total Parts) error {
	if before := (*totals)[docket]; !total.Covers(before) || total == before {
		return fmt.Errorf("total %v does not follow %v", total, before)
	}
	if *totals == nil {
		*totals = map[int]Parts{}
	}
	(*totals)[docket] = total
	return nil
}

// ForEach calls f with each total, in no particular order.
func (l *Ledger) ForEach(f func(docket int, received bool, total Parts)) {
	for docket, total := range l.given {
		f(docket, false, total)
	}
	for docket, total := range l.received {
		f(docket, true, total)
	}
}
