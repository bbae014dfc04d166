package gateway

import (
	"net/http"
	"slices"
	"strings"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/pool"
)

// Rights of an organisation's callers.
const (
	RightSubmit = "submit"
	RightRead   = "read"
	RightCancel = "cancel"
)

// Access identifies callers and operators by the tokens in the configuration.
type Access struct {
	// Current returns the configuration in force.
	Current func() *pool.Configuration
	Log     event.Emitter
}

func token(r *http.Request) (keys.Token, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return keys.TokenOf(secret), ok && secret != ""
}

// Organisation returns the organisation whose token the request carries, with
// the right that is needed; else it writes the refusal and returns nil.
func (a *Access) Organisation(w http.ResponseWriter, r *http.Request, right string) *pool.Organisation {
	t, ok := token(r)
	if !ok {
		a.refuse(w, r, http.StatusUnauthorized, "a bearer token is needed in the header Authorization")
		return nil
	}
	c := a.Current()
	o := c.ByToken(t.Digest().String())
	switch {
	case o == nil && len(c.Organisations) == 0:
		Refuse(w, http.StatusServiceUnavailable, Problem{
			Outcome: NotRun, RetryAfterMS: 1000, Reason: "no configuration is in force yet: neither the platform nor a peer has answered",
		})
		return nil
	case o == nil:
		a.refuse(w, r, http.StatusUnauthorized, "the token belongs to no organisation")
		return nil
	case len(o.Roles) > 0 && !slices.Contains(o.Roles, right):
		a.refuse(w, r, http.StatusForbidden, "organisation "+o.Name+" may not "+right)
		return nil
	}
	return o
}

var ranks = []pool.Role{pool.RoleViewer, pool.RolePlanner, pool.RoleOperator}

// Operator returns the operator whose token the request carries, if the role
// is at least the one needed; else it writes the refusal and returns nil.
func (a *Access) Operator(w http.ResponseWriter, r *http.Request, needed pool.Role) *pool.Operator {
	t, ok := token(r)
	if !ok {
		a.refuse(w, r, http.StatusUnauthorized, "an operator's bearer token is needed in the header Authorization")
		return nil
	}
	o := a.Current().OperatorByToken(t.Digest().String())
	switch {
	case o == nil:
		a.refuse(w, r, http.StatusUnauthorized, "the token belongs to no operator")
		return nil
	case slices.Index(ranks, o.Role) < slices.Index(ranks, needed):
		a.refuse(w, r, http.StatusForbidden, "operator "+o.Name+" has the role "+string(o.Role)+", "+string(needed)+" is needed")
		return nil
	}
	return o
}

func (a *Access) refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	a.Log.Emit(event.AccessRefused, "path", r.URL.Path, "from", r.RemoteAddr, "reason", reason)
	Refuse(w, status, Problem{Outcome: NotRun, Reason: reason})
}
