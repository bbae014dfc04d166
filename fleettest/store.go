package fleettest

import (
	"sync"

	"persimmonworks.example/persimmonworks/changelog"
)

// Store is all tables of the store, or one process's way to them.
type Store struct {
	mu     sync.Mutex
	shared *Store // set for a way to another store
	tables map[string]*Table
	away   bool
}

// NewStore returns a store without tables.
func NewStore() *Store { return &Store{tables: map[string]*Table{}} }

// Path returns a way to the store that can be away by itself.
func (s *Store) Path() *Store { return &Store{shared: s, tables: map[string]*Table{}} }

// Table returns the table of that name, empty at first.
func (s *Store) Table(name string) changelog.Table { return s.table(name) }

func (s *Store) table(name string) *Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tables[name]
	if !ok {
		t = NewTable()
		if s.shared != nil {
			t = s.shared.table(name).Path()
		}
		t.SetAway(s.away)
		s.tables[name] = t
	}
	return t
}

// SetAway makes every table answer nothing, or answer again.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	for _, t := range s.tables {
		t.SetAway(away)
	}
}
