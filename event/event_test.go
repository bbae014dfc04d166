package event

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

const page = "../docs/EVENTS.md"

func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Page(), string(got)); diff != "" {
		t.Errorf("docs/EVENTS.md differs from the catalogue; run go test ./event -update:\n%s", diff)
	}
}

func TestCatalogueIsValid(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, e := range Catalogue() {
		if numbers[e.Number] || names[e.Name] {
			t.Errorf("%v: duplicate number or name", e)
		}
		numbers[e.Number], names[e.Name] = true, true
		if e.Number < 1000 || e.Meaning == "" || e.Action == "" || e.Name != strings.ToLower(e.Name) || strings.ContainsAny(e.Name, " _") {
			t.Errorf("%v is incomplete: %+v", e, *e)
		}
	}
}

func TestEmitWritesOneLine(t *testing.T) {
	var b bytes.Buffer
	l := Log{Writer: &b, Process: "entry-1"}
	l.Emit(ShardTaken, "shard", "rack-r1", "epoch", 7, "error", errors.New("none"))
	l.Emit(RequestRefused, "below", "the level")
	var line map[string]any
	if err := json.Unmarshal(b.Bytes(), &line); err != nil {
		t.Fatalf("%v in %q", err, b.String())
	}
	if line["event"] != 1201.0 || line["name"] != "shard-taken" || line["epoch"] != 7.0 || line["error"] != "none" || line["process"] != "entry-1" {
		t.Errorf("line = %v", line)
	}
}

func TestSecretsAreNeverWritten(t *testing.T) {
	const word = "open-sesame"
	type nested struct{ Inner Secret }
	for _, console := range []bool{false, true} {
		var b bytes.Buffer
		l := Log{Writer: &b, Console: console}
		l.Emit(KeysReloaded, "plain", Secret(word), "nested", nested{word}, "list", []Secret{word},
			"pointer", &nested{word}, "map", map[string]Secret{"k": word})
		l.Emit(KeysReloaded, "caller-token", word, "authorization", errors.New(word), "Password", []byte(word))
		l.Emit(KeysReloaded, word)
		l.Emit(KeysReloaded, "text", fmt.Sprintf("%v %+v %#v %s %q", Secret(word), nested{word}, nested{word}, Secret(word), Secret(word)))
		if strings.Contains(b.String(), word) {
			t.Errorf("console %v: the secret was written:\n%s", console, b.String())
		}
		if strings.Count(b.String(), "redacted") < 10 {
			t.Errorf("console %v: too few redactions:\n%s", console, b.String())
		}
	}
	if Secret(word).Reveal() != word {
		t.Error("Reveal lost the secret")
	}
}
