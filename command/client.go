package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"persimmonworks.example/persimmonworks/dispatch"
	"persimmonworks.example/persimmonworks/gateway"
)

// client calls the interface of an entry process.
type client struct {
	address string
	token   string
	timeout time.Duration
	notes   io.Writer // for what an answer lacks; nil writes nothing
}

func (c *client) flags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "http://127.0.0.1:7080", "base URL of an entry process")
	f.StringVar(&c.token, "token", "", "bearer token; empty takes PERSIMMONWORKS_TOKEN from the environment")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "longest wait for an answer")
}

// maxAnswer bounds the answers that are read into memory.
const maxAnswer = 64 << 20

// refusal is an answer that refuses.
type refusal struct {
	gateway.Problem
	status int
	body   []byte
}

// Error says what was refused and what to do.
func (r *refusal) Error() string {
	if r.Outcome == "" {
		return fmt.Sprintf("status %d: %s", r.status, r.body)
	}
	text := fmt.Sprintf("%s: %s (status %d)", r.Outcome, r.Reason, r.status)
	switch {
	case r.status == http.StatusUnauthorized:
		text += "; pass -token or set PERSIMMONWORKS_TOKEN"
	case r.status == http.StatusForbidden:
		text += "; ask somebody whose role allows it"
	case r.RetryAfterMS > 0:
		text += fmt.Sprintf("; try again after %d ms", r.RetryAfterMS)
	}
	return text
}

// do sends a request and decodes a good answer into into, if that is not nil.
func (c *client) do(ctx context.Context, method, path string, body []byte, into any) error {
	text, err := c.send(ctx, method, path, "application/json", body)
	if err != nil || into == nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	return nil
}

// send sends a request and returns the body of a good answer. The error is a
// *refusal if the process refused.
func (c *client) send(ctx context.Context, method, path, accept string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	token := c.token
	if token == "" {
		token = os.Getenv("PERSIMMONWORKS_TOKEN")
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", accept)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("%s %s: no answer, the outcome is unknown: %w; check -address, or name another entry process", method, path, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("%s %s: the answer broke off: %w", method, path, err)
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		failed := &refusal{status: answer.StatusCode, body: text}
		_ = json.Unmarshal(text, &failed.Problem) // the body itself is shown if it is no Problem
		return nil, failed
	}
	if missing := answer.Header.Get(gateway.HeaderMissing); missing != "" && c.notes != nil {
		fmt.Fprintf(c.notes, "incomplete: no answer from %s\n", missing)
	}
	return text, nil
}

// submit submits a job from a file.
type submit struct {
	output
	client
	file string
}

func (*submit) Name() string     { return "submit" }
func (*submit) Synopsis() string { return "submit a job described in a JSON file" }
func (*submit) Usage() string {
	return "persimmonworks submit -address URL -token TOKEN -file job.json\n"
}

// SetFlags implements subcommands.Command.
func (s *submit) SetFlags(f *flag.FlagSet) {
	s.flags(f)
	f.StringVar(&s.file, "file", "-", "job in JSON; - is standard input")
}

// Execute implements subcommands.Command.
func (s *submit) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	body, err := readFile(s.file)
	if err != nil {
		return s.fail(err)
	}
	var a gateway.JobResponse
	if err := s.do(ctx, http.MethodPost, "/v1/jobs", body, &a); err != nil {
		return s.fail(err)
	}
	fmt.Fprintln(s.out, a.Job)
	return subcommands.ExitSuccess
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// status shows jobs and tasks.
type status struct {
	output
	client
	tasks bool
	wait  bool
}

func (*status) Name() string     { return "status" }
func (*status) Synopsis() string { return "show jobs, or one job with its tasks" }
func (*status) Usage() string {
	return "persimmonworks status [-tasks] [-wait] -address URL -token TOKEN [JOB]\n"
}

// SetFlags implements subcommands.Command.
func (s *status) SetFlags(f *flag.FlagSet) {
	s.flags(f)
	f.BoolVar(&s.tasks, "tasks", false, "show each task")
	f.BoolVar(&s.wait, "wait", false, "wait until the job has ended")
}

// Execute implements subcommands.Command.
func (s *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		var views []dispatch.JobView
		if err := s.do(ctx, http.MethodGet, "/v1/jobs", nil, &views); err != nil {
			return s.fail(err)
		}
		s.print(views...)
		return subcommands.ExitSuccess
	}
	view, err := s.follow(ctx, f.Arg(0))
	if err != nil {
		return s.fail(err)
	}
	s.print(view)
	if s.tasks {
		if err := s.printTasks(ctx, view); err != nil {
			return s.fail(err)
		}
	}
	return subcommands.ExitSuccess
}

func (s *status) follow(ctx context.Context, id string) (dispatch.JobView, error) {
	for {
		var v dispatch.JobView
		err := s.do(ctx, http.MethodGet, "/v1/jobs/"+id, nil, &v)
		if err != nil || !s.wait || v.Open == 0 {
			return v, err
		}
		select {
		case <-ctx.Done():
			return v, ctx.Err()
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (s *status) print(views ...dispatch.JobView) {
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tNAME\tCLASS\tTASKS\tOPEN\tSTATES\tWAITING FOR")
	for _, v := range views {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%v\t%s\n", v.ID, v.Name, v.Class, v.Tasks, v.Open, v.States, v.Waiting)
	}
	_ = w.Flush() // the terminal is gone if this fails
}

func (s *status) printTasks(ctx context.Context, v dispatch.JobView) error {
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TASK\tSTATE\tATTEMPT\tWORKER\tRAN\tREASON OR NEED")
	const pageSize = 1000
	for from := 0; from < v.Tasks; from += pageSize {
		var views []dispatch.TaskView
		if err := s.do(ctx, http.MethodGet, fmt.Sprintf("/v1/jobs/%s/tasks?from=%d&limit=%d", v.ID, from, pageSize), nil, &views); err != nil {
			return err
		}
		for _, t := range views {
			fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%d ms\t%s%s\n", t.Index, t.State, t.Attempt, t.Worker, t.RanMS, t.Reason, t.Needs)
		}
	}
	return w.Flush()
}

// cancel cancels a job.
type cancel struct {
	output
	client
}

func (*cancel) Name() string                    { return "cancel" }
func (*cancel) Synopsis() string                { return "cancel a job" }
func (*cancel) Usage() string                   { return "persimmonworks cancel -address URL -token TOKEN JOB\n" }
func (c *cancel) SetFlags(f *flag.FlagSet)      { c.flags(f) }
func (c *cancel) badUsage(f *flag.FlagSet) bool { return f.NArg() != 1 }

// Execute implements subcommands.Command.
func (c *cancel) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.badUsage(f) {
		fmt.Fprint(c.err, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.do(ctx, http.MethodDelete, "/v1/jobs/"+f.Arg(0), nil, nil); err != nil {
		return c.fail(err)
	}
	fmt.Fprintln(c.out, "cancelled", f.Arg(0))
	return subcommands.ExitSuccess
}

// call sends one service request.
type call struct {
	output
	client
	class         string
	key           string
	nonIdempotent bool
	workMS        int
	body          string
}

func (*call) Name() string     { return "call" }
func (*call) Synopsis() string { return "send a request to a service" }
func (*call) Usage() string {
	return "persimmonworks call -address URL -token TOKEN [-class urgent] [-non-idempotent] [-key KEY] SERVICE/PATH\n"
}

// SetFlags implements subcommands.Command.
func (c *call) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.StringVar(&c.class, "class", "", "class of the request")
	f.StringVar(&c.key, "key", "", "idempotency key")
	f.BoolVar(&c.nonIdempotent, "non-idempotent", false, "run at most once")
	f.IntVar(&c.workMS, "work-ms", 0, "how long the stand-in's runner works, ms")
	f.StringVar(&c.body, "body", "", "body of the request")
}

// Execute implements subcommands.Command.
func (c *call) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(c.err, c.Usage())
		return subcommands.ExitUsageError
	}
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address+"/v1/services/"+f.Arg(0), bytes.NewReader([]byte(c.body)))
	if err != nil {
		return c.fail(err)
	}
	token := c.token
	if token == "" {
		token = os.Getenv("PERSIMMONWORKS_TOKEN")
	}
	r.Header.Set("Authorization", "Bearer "+token)
	for name, value := range map[string]string{
		gateway.HeaderClass: c.class, gateway.HeaderIdempotencyKey: c.key,
		gateway.HeaderNonIdempotent: fmt.Sprint(c.nonIdempotent), "Persimmon-Work-Ms": fmt.Sprint(c.workMS),
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return c.fail(fmt.Errorf("no answer, the outcome is unknown: %w", err))
	}
	defer answer.Body.Close()
	fmt.Fprintf(c.out, "status %d, runner %s, request %s\n", answer.StatusCode, answer.Header.Get(gateway.HeaderRunner), answer.Header.Get(gateway.HeaderRequestID))
	if _, err := io.Copy(c.out, answer.Body); err != nil {
		return c.fail(fmt.Errorf("the answer broke off: %w", err))
	}
	fmt.Fprintln(c.out)
	return subcommands.ExitSuccess
}
