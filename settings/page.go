package settings

import (
	"fmt"
	"strings"
)

// Page returns the content of docs/SETTINGS.md, generated from the list of keys.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("Made from the table in `settings/keys.go`; `go test ./settings -update` writes it again.\n")
	b.WriteString("`persimmonworks check FILE` reports all faults of a file at once.\n")
	for _, section := range sectionNames() {
		fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | allowed | meaning |\n|---|---|---|---|\n", section)
		for _, k := range keys {
			if k.Section == section {
				fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, defaultText(k), k.Allowed, k.Description)
			}
		}
	}
	b.WriteString("\n## Relations\n\n")
	for _, r := range constraints {
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

// maxSuggestionDistance is the largest edit distance at which a known name is
// suggested in place of an unknown one.
const maxSuggestionDistance = 3

// suggest returns a hint with the known name closest to name, or the list of all
// known names if none is within maxSuggestionDistance.
func suggest(name string, known []string) string {
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

// editDistance returns the Levenshtein distance in bytes. It
// truncates a to bound the work; a name that long is still far from every
// known name.
func editDistance(a, b string) int {
	a = a[:min(len(a), 2*maxNameLength)]
	distances := make([]int, len(b)+1)
	for j := range distances {
		distances[j] = j
	}
	for i := range len(a) {
		diagonal := distances[0]
		distances[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = distances[j+1]
			distances[j+1] = min(cost, distances[j]+1, distances[j+1]+1)
		}
	}
	return distances[len(b)]
}
