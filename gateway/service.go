package gateway

import (
	"context"
	"net/http"

	"persimmonworks.example/persimmonworks/pool"
)

type organisationKey struct{}

// OrganisationOf returns the organisation of the authenticated caller from the
// context of a service request, or nil for other contexts.
func OrganisationOf(ctx context.Context) *pool.Organisation {
	o, _ := ctx.Value(organisationKey{}).(*pool.Organisation)
	return o
}

// serviceHandler authenticates the caller of a service request and calls Requests
// with the organisation in the context.
func (s *Server) serviceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := s.Access.Organisation(w, r, RightSubmit)
		if o == nil {
			return
		}
		s.Requests.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), organisationKey{}, o)))
	})
}
