package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/flamingohold/flamingohold/internal/version/service"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// Paths of the OpenAI API.
const (
	chatCompletionsPath = "/v1/chat/completions"
	completionsPath     = "/v1/completions"
	modelsPath          = "/v1/models"
)

// errorDetail is the error object that OpenAI clients read.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func detailOf(p problem.Problem) errorDetail {
	kind := p.Type[strings.LastIndex(p.Type, ":")+1:]
	return errorDetail{Message: p.Detail, Type: p.Outcome, Code: kind}
}

// openAIProblem is a problem with an OpenAI error object as extension member
// (RFC 9457, section 3.2).
type openAIProblem struct {
	problem.Problem
	Error errorDetail `json:"error"`
}

func writeOpenAIProblem(w http.ResponseWriter, p problem.Problem) error {
	body, err := json.Marshal(openAIProblem{p, detailOf(p)})
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", problem.MediaType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.Retryable {
		h.Set("Retry-After", strconv.Itoa(max(1, p.RetryAfterSeconds)))
	}
	w.WriteHeader(p.Status)
	_, err = w.Write(body)
	return err
}

// streamError is the data of the error event that ends an incomplete streamed
// answer.
type streamError struct {
	Error streamProblem `json:"error"`
}

type streamProblem struct {
	problem.Problem
	Message string `json:"message"`
	Code    string `json:"code"`
}

func encodeStreamError(p problem.Problem) ([]byte, error) {
	detail := detailOf(p)
	return json.Marshal(streamError{streamProblem{p, detail.Message, detail.Code}})
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *session) serveModels() {
	if s.request.Method != http.MethodGet && s.request.Method != http.MethodHead {
		s.refuseMethod("GET")
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	requested := strings.TrimPrefix(strings.TrimPrefix(s.request.URL.Path, modelsPath), "/")
	for _, svc := range s.configuration.Services {
		if svc.Kind != service.KindEngine {
			continue
		}
		for _, m := range svc.Models {
			entry := modelEntry{m.Name, "model", 0, svc.Name}
			if m.Name == requested {
				s.writeJSON(http.StatusOK, entry)
				return
			}
			list.Data = append(list.Data, entry)
		}
	}
	if requested != "" {
		s.refuse(modelNotFound(requested))
		return
	}
	s.writeJSON(http.StatusOK, list)
}

func modelNotFound(name string) problem.Problem {
	return problem.Rejected("model_not_found", http.StatusNotFound, "no engine service offers the model "+strconv.Quote(name))
}

func (s *session) refuseMethod(allowed string) {
	s.writer.Header().Set("Allow", allowed)
	s.refuse(problem.Rejected("method_not_allowed", http.StatusMethodNotAllowed, "the path does not take this method"))
}

func (s *session) writeJSON(status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.refuse(problem.Unknown("internal_error", err.Error()).WithStatus(http.StatusInternalServerError))
		return
	}
	s.writer.Header().Set("Content-Type", "application/json")
	s.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.writer.WriteHeader(status)
	_, _ = s.writer.Write(body)
}
