package gateway

import (
	"context"
	"net/http"

	"persimmonworks.example/persimmonworks/pool"
)

type organisationKey struct{}

// OrganisationOf returns the caller's organisation as identified by the
// gateway, nil outside of its handlers.
func OrganisationOf(ctx context.Context) *pool.Organisation {
	o, _ := ctx.Value(organisationKey{}).(*pool.Organisation)
	return o
}

// service identifies the caller of a service request.
func (s *Server) service() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := s.Access.Organisation(w, r, RightSubmit)
		if o == nil {
			return
		}
		s.Requests.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), organisationKey{}, o)))
	})
}
