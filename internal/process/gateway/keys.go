package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const orderKeysPath = "/v1/order-keys"

// keyRequest is the body of a request for a key, which may name the service or
// the path of the order in place of the query.
type keyRequest struct {
	Service string `json:"service"`
	Path    string `json:"path"`
}

// serviceForKey returns the service for which a key is wanted.
func (s *session) serviceForKey() (*service.Service, problem.Problem) {
	wanted := keyRequest{Service: s.request.URL.Query().Get("service")}
	body, ok := s.readBody()
	if ok && len(body) > 0 && wanted.Service == "" && json.Unmarshal(body, &wanted) != nil {
		return nil, problem.Rejected("malformed_request", http.StatusBadRequest, "the body is no JSON object")
	}
	svc := s.configuration.Service(wanted.Service)
	if wanted.Service == "" && wanted.Path != "" {
		svc = s.configuration.ServiceForRequest(s.request.Host, wanted.Path)
	}
	if svc == nil || svc.Kind != service.KindPlain {
		return nil, problem.Rejected("not_found", http.StatusNotFound, "no plain service "+strconv.Quote(wanted.Service)+" is configured")
	}
	return svc, problem.Problem{}
}
