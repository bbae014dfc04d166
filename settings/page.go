package settings

import (
	"fmt"
	"strings"
)

// Page returns docs/SETTINGS.md, made from the table of keys.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("Made from the table in `settings/keys.go`; `go test ./settings -update` writes it again.\n")
	b.WriteString("`persimmonworks check FILE` reports all faults of a file at once.\n")
	for _, section := range sections() {
		fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | allowed | meaning |\n|---|---|---|---|\n", section)
		for _, k := range keys {
			if k.Section == section {
				fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, defaultText(k), k.Allowed, k.Meaning)
			}
		}
	}
	b.WriteString("\n## Relations\n\n")
	for _, r := range relations {
		fmt.Fprintf(&b, "- `[%s] %s`: %s\n", r.section, r.key, r.allowed)
	}
	return b.String()
}

func defaultText(k Key) string {
	switch {
	case k.Required:
		return "required"
	case k.Default == "":
		return "none"
	}
	return "`" + k.Default + "`"
}

// maxSuggestionDistance is the number of edits up to which a known name is
// taken for what was meant.
const maxSuggestionDistance = 3

// suggestion names the nearest of the known names, or all of them if none is
// near.
func suggestion(name string, known []string) string {
	best, distance := "", maxSuggestionDistance+1
	for _, k := range known {
		if d := editDistance(name, k); d < distance {
			best, distance = k, d
		}
	}
	if best == "" {
		return strings.Join(known, ", ")
	}
	return fmt.Sprintf("did you mean %q?", best)
}

// editDistance returns the Levenshtein distance in bytes. Names far longer
// than any known one are cut, which keeps the distance large.
func editDistance(a, b string) int {
	a = a[:min(len(a), 2*maxNameLength)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
