package standin

import (
	"sync"
	"time"
)

// Rate is how often something happened.
type Rate struct {
	Total   uint64  `json:"total"`
	Seconds float64 `json:"seconds"` // since the start of the count
	Mean    float64 `json:"mean-per-second"`
	Peak    uint64  `json:"peak-per-second"` // in the busiest second
}

// Counters are the rates of the table and the object store.
type Counters struct {
	Reads  Rate `json:"reads"`
	Writes Rate `json:"writes"`
}

// meter counts events by whole seconds since its first event.
type meter struct {
	mutex  sync.Mutex
	start  time.Time
	total  uint64
	second int64
	count  uint64
	peak   uint64
}

func (m *meter) add() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	if m.start.IsZero() {
		m.start = now
	}
	if second := int64(now.Sub(m.start) / time.Second); second != m.second {
		m.second, m.count = second, 0
	}
	m.total++
	m.count++
	m.peak = max(m.peak, m.count)
}

func (m *meter) rate() Rate {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := Rate{Total: m.total, Peak: m.peak}
	if m.start.IsZero() {
		return r
	}
	r.Seconds = max(1, time.Since(m.start).Seconds())
	r.Mean = float64(m.total) / r.Seconds
	return r
}

func (m *meter) reset() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.start, m.total, m.second, m.count, m.peak = time.Time{}, 0, 0, 0, 0
}
