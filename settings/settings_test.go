package settings

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"persimmonworks.example/persimmonworks/finding"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md")

const pageFile = "../docs/SETTINGS.md"

func TestPageMatchesTable(t *testing.T) {
	if *update {
		if err := os.WriteFile(pageFile, []byte(Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Page(), string(got)); diff != "" {
		t.Errorf("docs/SETTINGS.md differs from the list of keys; run go test ./settings -update:\n%s", diff)
	}
}

var expectation = regexp.MustCompile(`(?m)^# want: (.*)$`)

// TestFiles parses each file in testdata and compares the findings with its
// "# want:" lines. A file without such lines must be accepted.
func TestFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	if err != nil || len(files) < 4 {
		t.Fatalf("%d files in testdata, error %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var want []string
			for _, m := range expectation.FindAllStringSubmatch(string(data), -1) {
				want = append(want, m[1])
			}
			_, err = Parse("f", data)
			var got []string
			for _, f := range finding.FromError(err) {
				got = append(got, f.Error())
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDefaultsAndValues(t *testing.T) {
	s, err := Load("testdata/least.ini")
	if err != nil {
		t.Fatal(err)
	}
	if s.Session != (Session{2 * time.Second, 8 * time.Second, time.Second}) {
		t.Errorf("session defaults = %+v", s.Session)
	}
	if s.Process.Name != "entry-1" || s.Process.RelayAddress.String() != "127.0.0.1:7101" {
		t.Errorf("process = %+v", s.Process)
	}
	if len(s.Peers.Seeds) != 2 || s.Limits.MaxTasks != 5000 || s.Platform.Address != "http://127.0.0.1:7000" {
		t.Errorf("settings = %+v", s)
	}
	if _, err := Load("testdata/absent.ini"); err == nil || !strings.Contains(err.Error(), "absent.ini") {
		t.Errorf("Load of a missing file returned %v", err)
	}
}

func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.ini")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("Parse returned settings %v and error %v", s, err)
		}
		if err != nil && len(finding.FromError(err)) == 0 {
			t.Fatalf("error without findings: %v", err)
		}
		if s != nil && (s.Session.RenewEvery*3 > s.Session.TTL || s.Session.Margin >= s.Session.TTL) {
			t.Fatalf("Parse accepted the invalid session %+v", s.Session)
		}
	})
}
