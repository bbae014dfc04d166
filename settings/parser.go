package settings

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"persimmonworks.example/persimmonworks/finding"
)

const (
	maxFileBytes  = 1 << 20 // far above a real file, which has a few hundred lines
	byteOrderMark = "\ufeff"
)

// iniOptions restricts each value to one line, so that the line numbers found by
// scan match the values that the INI library reads.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SkipUnrecognizableLines:  true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	IgnoreInlineComment:      false,
}

type keyPath struct{ section, key string }

// parser fills settings and collects findings.
type parser struct {
	name     string
	settings Settings
	findings finding.List
	lines    map[keyPath]int // line of each key; a section has the key ""
	accepted bytes.Buffer    // input of the INI library, without the rejected lines
}

func (p *parser) addFinding(line int, section, key, problem, allowed string) {
	p.findings.Add(finding.Finding{
		File: p.name, Line: line, Section: section, Key: key, Problem: problem, Allowed: allowed,
	})
}

// scan records the line of each key and reports syntax errors, unknown names
// and duplicate keys.
func (p *parser) scan(data []byte) {
	p.lines = make(map[keyPath]int)
	if len(data) > maxFileBytes {
		p.addFinding(0, "", "", fmt.Sprintf("file has %d bytes", len(data)), fmt.Sprintf("at most %d", maxFileBytes))
		return
	}
	section := ""
	s := bufio.NewScanner(bytes.NewReader(data))
	s.Buffer(nil, maxFileBytes+1)
	for line := 1; s.Scan(); line++ {
		text := strings.TrimSpace(strings.TrimPrefix(s.Text(), byteOrderMark))
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			section = p.scanSection(line, text)
			fmt.Fprintf(&p.accepted, "[%s]\n", section)
		case p.scanKey(line, section, text):
			p.accepted.WriteString(text + "\n")
		}
	}
}

func (p *parser) scanSection(line int, text string) string {
	end := strings.IndexByte(text, ']')
	if end < 0 {
		p.addFinding(line, "", "", fmt.Sprintf("section line %q has no closing bracket", text), "[section]")
		return strings.Trim(text, "[ ")
	}
	name := strings.TrimSpace(text[1:end])
	if !isKnownSection(name) {
		p.addFinding(line, name, "", "unknown section", suggest(name, sectionNames()))
	}
	p.lines[keyPath{section: name}] = line
	return name
}

// scanKey reports whether the line is valid and is passed to the INI library.
func (p *parser) scanKey(line int, section, text string) bool {
	key, value, found := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !found {
		p.addFinding(line, section, "", fmt.Sprintf("line %q is neither a section nor a key", text), "key = value")
		return false
	}
	path := keyPath{section, key}
	first, duplicate := p.lines[path]
	p.lines[path] = line
	switch {
	case section == "":
		p.addFinding(line, "", key, "appears before the first section", "[section] on a line above it")
	case !isKnownSection(section):
		// Already reported for the section itself.
	case lookup(section, key) == nil:
		p.addFinding(line, section, key, "unknown key", suggest(key, keyNames(section)))
	case duplicate:
		p.addFinding(line, section, key, fmt.Sprintf("is set twice, first on line %d", first), "one value")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		p.addFinding(line, section, key, "multi-line values are not supported", "a value on one line")
	default:
		return true
	}
	return false
}

// readValues parses the value of every supported key, then checks the
// constraints of the sections without findings.
func (p *parser) readValues() {
	f, err := ini.LoadSources(iniOptions, p.accepted.Bytes())
	if err != nil {
		p.addFinding(0, "", "", fmt.Sprintf("invalid INI syntax: %v", err), "")
		return
	}
	for i := range keys {
		p.readKey(f, &keys[i])
	}
	invalid := p.invalidSections()
	for _, r := range constraints {
		if !invalid[r.section] && !r.holds(&p.settings) {
			p.addFinding(p.lines[keyPath{r.section, r.key}], r.section, r.key, r.problem(&p.settings), r.allowed)
		}
	}
}

func (p *parser) readKey(f *ini.File, k *Key) {
	value := k.Default
	line := p.lines[keyPath{k.Section, k.Name}]
	if f.HasSection(k.Section) && f.Section(k.Section).HasKey(k.Name) {
		value = strings.TrimSpace(f.Section(k.Section).Key(k.Name).Value())
	} else if line > 0 {
		return // scan rejected the line and reported it
	} else if k.Required {
		p.addFinding(p.lines[keyPath{section: k.Section}], k.Section, k.Name, "is missing", k.Allowed)
		return
	}
	if err := k.parse(&p.settings, value); err != nil {
		p.addFinding(line, k.Section, k.Name, err.Error(), k.Allowed)
	}
}

// invalidSections returns the sections that have findings. Their constraints are
// not checked, since they would compare the zero value of a rejected key.
func (p *parser) invalidSections() map[string]bool {
	invalid := make(map[string]bool)
	for _, f := range p.findings {
		invalid[f.Section] = true
	}
	return invalid
}
