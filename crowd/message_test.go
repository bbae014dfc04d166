package crowd

import (
	"bytes"
	"fmt"
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/wire"
)

// manySteps returns an ExchangeSubmit of messageBytes with a job of steps of two bytes.
func manySteps() []byte {
	job := wire.DocketAccepted{}
	submit := wire.ExchangeSubmit{}
	steps := job.ProtoReflect().Descriptor().Fields().ByName("steps").Number()
	field := submit.ProtoReflect().Descriptor().Fields().ByName("job").Number()
	const overhead = 4 // of the tag and of the length of the job
	n := (messageBytes - overhead) / 2
	inner := bytes.Repeat([]byte{byte(steps)<<3 | 2, 0}, n)
	b := []byte{byte(field)<<3 | 2}
	b = append(b, byte(len(inner))|0x80, byte(len(inner)>>7)|0x80, byte(len(inner)>>14))
	return append(b, inner...)
}

// implausibleJobs returns submissions of one job each with values that no caller can send.
func implausibleJobs(t *testing.T) map[string][]byte {
	step := func(change func(s *wire.DocketStep)) *wire.DocketAccepted {
		s := &wire.DocketStep{Count: 1, MilliCpu: 100, MemoryMb: 10, EstimateMs: 50}
		change(s)
		return &wire.DocketAccepted{Spec: "x", Steps: []*wire.DocketStep{s}}
	}
	many := &wire.DocketAccepted{Spec: "x"}
	for range 20_000 {
		many.Steps = append(many.Steps, &wire.DocketStep{Count: 5000})
	}
	jobs := map[string]*wire.DocketAccepted{
		"tasks":       step(func(s *wire.DocketStep) { s.Count = math.MaxUint32 }),
		"no-tasks":    step(func(s *wire.DocketStep) { s.Count = 0 }),
		"amounts":     step(func(s *wire.DocketStep) { s.MilliCpu, s.MemoryMb = math.MinInt64, math.MaxInt64 }),
		"after":       step(func(s *wire.DocketStep) { s.After = []uint32{7} }),
		"occurrences": {Spec: "x", Repeat: math.MaxUint32, Steps: []*wire.DocketStep{{Count: 5000}}},
		"times":       {Spec: "x", Repeat: 1000, FirstDueMs: math.MinInt64, IntervalMs: math.MaxInt64, Steps: []*wire.DocketStep{{Count: 1}}},
		"steps":       many,
		"no-steps":    {Spec: "x"},
		"empty-step":  {Spec: "x", Steps: []*wire.DocketStep{{}}},
	}
	out := map[string][]byte{}
	for name, job := range jobs {
		job.Job = fmt.Sprintf("%016x", xxhash.Sum64String(name))
		body, err := proto.Marshal(&wire.ExchangeSubmit{Job: job})
		if err != nil {
			t.Fatal(err)
		}
		out[name] = body
	}
	return out
}
