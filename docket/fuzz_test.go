package docket_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/wire"
)

// Whatever a row of the store holds, applying it neither panics nor leaves a job that
// cannot be looked at.
func FuzzApply(f *testing.F) {
	steps := []*wire.DocketStep{{Count: 2}, {Count: 1, After: []uint32{0}, Gang: true}}
	job := &wire.DocketAccepted{Job: "a", Steps: steps, Queue: &wire.DocketQueue{MaxAttempts: 1}}
	id := docket.TaskID{Job: "a"}
	for _, entries := range [][]*wire.DocketEntry{
		{docket.Accept(job), docket.Start(id, 1, "w", 1), docket.End(id, 1, wire.DocketOutcome_DOCKET_OUTCOME_DONE, "c", 1)},
		{docket.Accept(&wire.DocketAccepted{Job: "b", Steps: []*wire.DocketStep{{Count: 1, After: []uint32{7}}}})},
		{docket.Accept(&wire.DocketAccepted{Job: "c", Steps: []*wire.DocketStep{{Count: 1 << 31}}})},
		{docket.Accept(job), docket.Cancel("a", 1), docket.Forget("a")},
		{{}},
	} {
		value, err := proto.Marshal(&wire.DocketBatch{Entries: entries})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		batch := &wire.DocketBatch{}
		if proto.Unmarshal(value, batch) != nil {
			return
		}
		d := docket.New()
		for i, e := range batch.GetEntries() {
			_ = d.Apply(e, uint64(i)) // an invalid entry is refused, which is what is tested
		}
		d.ForEach(func(j *docket.Job) {
			for i := range j.Accepted().GetSteps() {
				j.Ready(0, uint32(i))
			}
		})
		copied := docket.New()
		for i, e := range d.Snapshot() {
			if err := copied.Apply(e, uint64(i)); err != nil {
				t.Errorf("entry %d of the snapshot: %v", i, err)
			}
		}
	})
}
