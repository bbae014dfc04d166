package gateway

import (
	"net/http"
	"slices"
	"strings"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/keys"
	"persimmonworks.example/persimmonworks/pool"
)

// Rights that a configuration can grant to an organisation's callers.
const (
	RightSubmit = "submit"
	RightRead   = "read"
	RightCancel = "cancel"
)

// Access authenticates callers and operators by the token digests in the
// configuration, and checks their rights and roles.
type Access struct {
	// Current returns the current configuration.
	Current func() *pool.Configuration
	Log     event.Emitter
}

func bearerToken(r *http.Request) (keys.Token, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return keys.TokenOf(secret), ok && secret != ""
}

// Organisation returns the organisation whose token the request carries, if it
// has the given right; one without configured rights has all of them. Otherwise it writes an error response and returns nil.
func (a *Access) Organisation(w http.ResponseWriter, r *http.Request, right string) *pool.Organisation {
	t, ok := bearerToken(r)
	if !ok {
		a.refuse(w, r, http.StatusUnauthorized, "a bearer token is needed in the header Authorization")
		return nil
	}
	c := a.Current()
	o := c.OrganisationByToken(t.Digest().String())
	switch {
	case o == nil && len(c.Organisations) == 0:
		WriteProblem(w, http.StatusServiceUnavailable, Problem{
			Outcome: OutcomeNotRun, RetryAfterMS: 1000, Reason: "no configuration is in force yet: neither the platform nor a peer has answered",
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

// rolesByRank lists the operator roles. Each includes the rights of those before it.
var rolesByRank = []pool.Role{pool.RoleViewer, pool.RolePlanner, pool.RoleOperator}

// Operator returns the operator whose token the request carries, if their role
// includes the needed one. Otherwise it writes an error response and returns nil.
func (a *Access) Operator(w http.ResponseWriter, r *http.Request, needed pool.Role) *pool.Operator {
	t, ok := bearerToken(r)
	if !ok {
		a.refuse(w, r, http.StatusUnauthorized, "an operator's bearer token is needed in the header Authorization")
		return nil
	}
	o := a.Current().OperatorByToken(t.Digest().String())
	switch {
	case o == nil:
		a.refuse(w, r, http.StatusUnauthorized, "the token belongs to no operator")
		return nil
	case slices.Index(rolesByRank, o.Role) < slices.Index(rolesByRank, needed):
		a.refuse(w, r, http.StatusForbidden, "operator "+o.Name+" has the role "+string(o.Role)+", "+string(needed)+" is needed")
		return nil
	}
	return o
}

func (a *Access) refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	a.Log.Emit(event.AccessRefused, "path", r.URL.Path, "from", r.RemoteAddr, "reason", reason)
	WriteProblem(w, status, Problem{Outcome: OutcomeNotRun, Reason: reason})
}
