package load

import (
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/finding"
)

// Plan is what a run sends. A file of settings has the keys of the fields in
// its section load, and a weight for each class and a token for each
// organisation in the sections classes and organisations:
//
//	[load]
//	addresses = http://127.0.0.1:7081,http://127.0.0.1:7082
//	rate = 200
//	[classes]
//	urgent = 1
//	interactive = 4
//	[organisations]
//	workshop = TOKEN
type Plan struct {
	Addresses []string // base URLs of entry processes
	Service   string
	Path      string // below the service
	Rate      float64
	Count     int
	Length    time.Duration
	Work      time.Duration
	Body      int // bytes
	Timeout   time.Duration
	Seed      uint64
	// Tasks, when above 0, submits a batch next to the requests, of tasks that
	// run for TaskTime each.
	Tasks         int
	TaskTime      time.Duration
	Classes       []Part
	Organisations []Organisation
}

// Requests returns the requests of the plan.
func (p *Plan) Requests() *Requests {
	r := &Requests{
		Rate: p.Rate, Count: p.Count, Length: p.Length, Work: p.Work, Body: p.Body, Timeout: p.Timeout, Seed: p.Seed,
		Classes: p.Classes, Organisations: p.Organisations,
	}
	for _, a := range p.Addresses {
		r.Targets = append(r.Targets, strings.TrimSuffix(a, "/")+"/v1/services/"+p.Service+"/"+strings.TrimPrefix(p.Path, "/"))
	}
	return r
}

// Batch returns the batch of the plan, nil if it has none.
func (p *Plan) Batch() *Batch {
	if p.Tasks == 0 || len(p.Addresses) == 0 || len(p.Organisations) == 0 {
		return nil
	}
	o := p.Organisations[0]
	return &Batch{Address: strings.TrimSuffix(p.Addresses[0], "/"), Token: o.Token, Name: o.Name, Tasks: p.Tasks, Run: p.TaskTime}
}

// Read takes a settings file over the plan and reports all that is wrong in it
// at once.
func (p *Plan) Read(name string, text []byte) error {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, text)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	r := reader{file: name}
	for _, s := range f.Sections() {
		switch s.Name() {
		case ini.DefaultSection:
			r.unknown(s, "a key outside of any section")
		case "load":
			r.load(p, s)
		case "classes":
			r.classes(p, s)
		case "organisations":
			for _, k := range s.Keys() {
				p.Organisations = append(p.Organisations, Organisation{Name: k.Name(), Token: k.String()})
			}
		default:
			r.findings.Add(finding.Finding{File: name, Section: s.Name(), Problem: "no such section", Allowed: "load, classes, organisations"})
		}
	}
	return r.findings.Err()
}

// reader collects findings.
type reader struct {
	file     string
	findings finding.List
}

func (r *reader) add(section string, k *ini.Key, problem, allowed string) {
	r.findings.Add(finding.Finding{File: r.file, Section: section, Key: k.Name(), Problem: problem, Allowed: allowed})
}

func (r *reader) unknown(s *ini.Section, problem string) {
	for _, k := range s.Keys() {
		r.add("", k, problem, "the sections load, classes, organisations")
	}
}

func (r *reader) load(p *Plan, s *ini.Section) {
	for _, k := range s.Keys() {
		var err error
		switch k.Name() {
		case "addresses":
			p.Addresses = k.Strings(",")
		case "service":
			p.Service = k.String()
		case "path":
			p.Path = k.String()
		case "rate":
			p.Rate, err = k.Float64()
		case "count":
			p.Count, err = k.Int()
		case "length":
			p.Length, err = k.Duration()
		case "work":
			p.Work, err = k.Duration()
		case "body":
			p.Body, err = k.Int()
		case "timeout":
			p.Timeout, err = k.Duration()
		case "seed":
			p.Seed, err = k.Uint64()
		case "tasks":
			p.Tasks, err = k.Int()
		case "task-time":
			p.TaskTime, err = k.Duration()
		default:
			r.add(s.Name(), k, "no such key", "addresses, service, path, rate, count, length, work, body, timeout, seed, tasks, task-time")
		}
		if err != nil {
			r.add(s.Name(), k, err.Error(), "a number, or a time such as 30s")
		}
	}
}

func (r *reader) classes(p *Plan, s *ini.Section) {
	for _, k := range s.Keys() {
		c, err := class.Parse(k.Name())
		if err != nil {
			r.add(s.Name(), k, err.Error(), "")
			continue
		}
		weight, err := k.Int()
		if err != nil || weight < 1 {
			r.add(s.Name(), k, fmt.Sprintf("weight %q", k.String()), "a whole number from 1")
			continue
		}
		p.Classes = append(p.Classes, Part{Class: c, Weight: weight})
	}
}
