package admission

// FIFO is the baseline that Controller is compared with: one bounded queue in order of
// arrival, which ignores class, organisation and deadline. The exported fields
// must be set before the first Offer.
type FIFO struct {
	MaxQueued int // 0 means 1024
	Slots     int

	waiting []Request
	running int
}

// Offer queues r unless the queue is full.
func (f *FIFO) Offer(r Request) bool {
	if len(f.waiting) >= orDefault(f.MaxQueued, defaultMaxQueued) {
		return false
	}
	f.waiting = append(f.waiting, r)
	return true
}

// Next admits the oldest request if a slot is free.
func (f *FIFO) Next() (Request, bool) {
	if f.running >= f.Slots || len(f.waiting) == 0 {
		return Request{}, false
	}
	r := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.running++
	return r, true
}

// Done releases a slot.
func (f *FIFO) Done() { f.running-- }
