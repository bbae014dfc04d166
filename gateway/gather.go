package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/dispatch"
)

// HeaderMissing lists the processes whose results are missing from a combined
// response.
const HeaderMissing = "Persimmon-Missing"

// bufferedResponse is an http.ResponseWriter that keeps the response in memory.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (c *bufferedResponse) Header() http.Header         { return c.header }
func (c *bufferedResponse) WriteHeader(status int)      { c.status = status }
func (c *bufferedResponse) Write(p []byte) (int, error) { return c.body.Write(p) }

// FanOut sends the request to all other processes, up to 16 at a time, and calls
// add with the body of each 200 response, one at a time. It returns the processes
// that did not respond with 200 or whose body add rejected.
func FanOut(rt Router, r *http.Request, add func(process string, body []byte) error) (missing []string) {
	processes := rt.Processes()
	answers := make([]*bufferedResponse, len(processes))
	var group errgroup.Group
	group.SetLimit(16)
	for i, p := range processes {
		group.Go(func() error {
			answers[i] = forwardBuffered(rt, r, p)
			return nil
		})
	}
	_ = group.Wait() // the functions always return nil
	for i, c := range answers {
		if c == nil || c.status != http.StatusOK || add(processes[i], c.body.Bytes()) != nil {
			missing = append(missing, processes[i])
		}
	}
	return missing
}

// forwardBuffered returns the response of one process, or nil if the request was
// not sent or the response was cut short. In the latter case Router.ForwardRequest panics
// with http.ErrAbortHandler, which would end this process, since no HTTP server
// recovers it in this goroutine.
func forwardBuffered(rt Router, r *http.Request, process string) (answer *bufferedResponse) {
	defer func() {
		if fault := recover(); fault != nil {
			if fault != http.ErrAbortHandler {
				panic(fault)
			}
			answer = nil
		}
	}()
	c := &bufferedResponse{header: http.Header{}, status: http.StatusOK}
	if !rt.ForwardRequest(c, r.Clone(r.Context()), process) {
		return nil
	}
	return c
}

func (s *Server) gatherJobs(w http.ResponseWriter, r *http.Request, views []dispatch.JobView) []dispatch.JobView {
	missing := FanOut(s.Router, r, func(_ string, body []byte) error {
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
