package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"persimmonworks.example/persimmonworks/soak"
)

// TestSoak runs a few seeds with processes of the program itself. A seed that ever
// failed stays in the list.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "persimmonworks")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/persimmonworks").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, seed := range []uint64{1, 2} {
		s := soak.Soak{Binary: binary, Seed: seed, Processes: 5, Workers: 16, Length: 12 * time.Second, Directory: t.TempDir()}
		r, err := s.Run(t.Context())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %d accepted, %d refused, %d unanswered, %d starts, %d probes, %d faults",
			seed, r.Accepted, r.Refused, r.Unanswered, r.Starts, r.Probes, len(r.Faults))
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		if r.Accepted == 0 {
			t.Errorf("seed %d: nothing was accepted", seed)
		}
		if r.Probes == 0 {
			t.Errorf("seed %d: no answer told which configuration is in force", seed)
		}
	}
}
