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
	maxFileBytes  = 1 << 20 // a settings file has a few hundred lines
	byteOrderMark = "\ufeff"
)

// options keep one value on one line, so that the scanner's lines and the
// library's values agree.
var options = ini.LoadOptions{
	IgnoreContinuation:       true,
	SkipUnrecognizableLines:  true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	IgnoreInlineComment:      false,
}

type place struct{ section, key string }

// parser gathers findings while it fills settings.
type parser struct {
	name     string
	settings Settings
	findings finding.List
	lines    map[place]int // line of each key, and of each section under key ""
	clean    bytes.Buffer  // the lines that the library may read; a refused line is left out
}

func (p *parser) add(line int, section, key, problem, allowed string) {
	p.findings.Add(finding.Finding{
		File: p.name, Line: line, Section: section, Key: key, Problem: problem, Allowed: allowed,
	})
}

// scan finds the line of each key, and the names that the table does not have.
func (p *parser) scan(data []byte) {
	p.lines = make(map[place]int)
	if len(data) > maxFileBytes {
		p.add(0, "", "", fmt.Sprintf("has %d bytes", len(data)), fmt.Sprintf("at most %d", maxFileBytes))
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
			fmt.Fprintf(&p.clean, "[%s]\n", section)
		case p.scanKey(line, section, text):
			p.clean.WriteString(text + "\n")
		}
	}
}

func (p *parser) scanSection(line int, text string) string {
	end := strings.IndexByte(text, ']')
	if end < 0 {
		p.add(line, "", "", fmt.Sprintf("section line %q has no closing bracket", text), "[section]")
		return strings.Trim(text, "[ ")
	}
	name := strings.TrimSpace(text[1:end])
	if !knownSection(name) {
		p.add(line, name, "", "unknown section", suggestion(name, sections()))
	}
	p.lines[place{section: name}] = line
	return name
}

// scanKey reports whether the library may read the line.
func (p *parser) scanKey(line int, section, text string) bool {
	key, value, found := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !found {
		p.add(line, section, "", fmt.Sprintf("line %q is neither a section nor a key", text), "key = value")
		return false
	}
	at := place{section, key}
	first, twice := p.lines[at]
	p.lines[at] = line
	switch {
	case section == "":
		p.add(line, "", key, "stands before any section", "[section] above it")
	case !knownSection(section):
		// The section has its finding; its keys would only repeat it.
	case lookup(section, key) == nil:
		p.add(line, section, key, "unknown key", suggestion(key, keysOf(section)))
	case twice:
		p.add(line, section, key, fmt.Sprintf("is set twice, first on line %d", first), "one value")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		p.add(line, section, key, "a value of several lines is not supported", "one line")
	default:
		return true
	}
	return false
}

// read takes the value of every key of the table from the library.
func (p *parser) read() {
	f, err := ini.LoadSources(options, p.clean.Bytes())
	if err != nil {
		p.add(0, "", "", fmt.Sprintf("cannot be read as INI: %v", err), "")
		return
	}
	for i := range keys {
		p.readKey(f, &keys[i])
	}
	faulty := p.faultySections()
	for _, r := range relations {
		if !faulty[r.section] && !r.holds(&p.settings) {
			p.add(p.lines[place{r.section, r.key}], r.section, r.key, r.problem(&p.settings), r.allowed)
		}
	}
}

func (p *parser) readKey(f *ini.File, k *Key) {
	value := k.Default
	line := p.lines[place{k.Section, k.Name}]
	if f.HasSection(k.Section) && f.Section(k.Section).HasKey(k.Name) {
		value = strings.TrimSpace(f.Section(k.Section).Key(k.Name).Value())
	} else if line > 0 {
		return // the scanner refused it
	} else if k.Required {
		p.add(p.lines[place{section: k.Section}], k.Section, k.Name, "is missing", k.Allowed)
		return
	}
	if err := k.read(&p.settings, value); err != nil {
		p.add(line, k.Section, k.Name, err.Error(), k.Allowed)
	}
}

// faultySections returns the sections of which a value was refused; their
// relations would compare a zero value.
func (p *parser) faultySections() map[string]bool {
	faulty := make(map[string]bool)
	for _, f := range p.findings {
		faulty[f.Section] = true
	}
	return faulty
}
