package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/dispatch"
)

// HeaderMissing names the processes whose part of a gathered answer is missing.
const HeaderMissing = "Persimmon-Missing"

// capture keeps an answer in memory.
type capture struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (c *capture) Header() http.Header         { return c.header }
func (c *capture) WriteHeader(status int)      { c.status = status }
func (c *capture) Write(p []byte) (int, error) { return c.body.Write(p) }

// Gather asks other processes the same question and calls take with the body
// of each good answer, one at a time. It returns the processes that did not
// answer.
func Gather(rt Router, r *http.Request, take func(process string, body []byte) error) (missing []string) {
	processes := rt.Processes()
	answers := make([]*capture, len(processes))
	var group errgroup.Group
	group.SetLimit(16)
	for i, p := range processes {
		group.Go(func() error {
			answers[i] = passWhole(rt, r, p)
			return nil
		})
	}
	_ = group.Wait() // the functions return nil
	for i, c := range answers {
		if c == nil || c.status != http.StatusOK || take(processes[i], c.body.Bytes()) != nil {
			missing = append(missing, processes[i])
		}
	}
	return missing
}

// passWhole returns the answer of one process, nil if there is none or if it broke
// off: a Router aborts its handler then, which must not end this process.
func passWhole(rt Router, r *http.Request, process string) (answer *capture) {
	defer func() {
		if fault := recover(); fault != nil {
			if fault != http.ErrAbortHandler {
				panic(fault)
			}
			answer = nil
		}
	}()
	c := &capture{header: http.Header{}, status: http.StatusOK}
	if !rt.Pass(c, r.Clone(r.Context()), process) {
		return nil
	}
	return c
}

func (s *Server) gather(w http.ResponseWriter, r *http.Request, views []dispatch.JobView) []dispatch.JobView {
	missing := Gather(s.Router, r, func(_ string, body []byte) error {
		var more []dispatch.JobView
		if err := json.Unmarshal(body, &more); err != nil {
			return err
		}
		views = append(views, more...)
		return nil
	})
	if len(missing) > 0 {
		w.Header().Set(HeaderMissing, strings.Join(missing, ", "))
	}
	return views
}
