package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

const orderKeysPath = "/v1/order-keys"

// orderKeyRequest is the optional body of a request for an order key. It names
// the service or the path of the order, and is ignored if the query parameter
// service is present.
type orderKeyRequest struct {
	Service string `json:"service"`
	Path    string `json:"path"`
}

// serviceForKey returns the plain service for which an order key is requested, or
// nil and the problem for the caller.
func (s *session) serviceForKey() (*service.Service, problem.Problem) {
	requested := orderKeyRequest{Service: s.request.URL.Query().Get("service")}
	body, err := io.ReadAll(s.request.Body)
	if err != nil {
		return nil, unreadableBody()
	}
	if len(body) > 0 && requested.Service == "" && json.Unmarshal(body, &requested) != nil {
		return nil, problem.Rejected("malformed_request", http.StatusBadRequest, "the body is no JSON object")
	}
	svc := s.configuration.Service(requested.Service)
	if requested.Service == "" && requested.Path != "" {
		svc = s.configuration.ServiceForRequest(s.request.Host, requested.Path)
	}
	if svc == nil || svc.Kind != service.KindPlain {
		return nil, problem.Rejected("not_found", http.StatusNotFound, "no plain service "+strconv.Quote(requested.Service)+" is configured")
	}
	return svc, problem.Problem{}
}
