package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requests atomic.Uint64

// reply is what a client got for a request.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	sentAt time.Time
}

// send sends one request as a client of the router does.
func send(rec *record, client *http.Client, r *router, method, host, path, body string, deadline time.Duration) reply {
	id := fmt.Sprintf("%016x", 0x9c41d07b00000000+requests.Add(1))
	request, err := http.NewRequest(method, "http://"+r.callers+path, strings.NewReader(body))
	check(err)
	request.Host = host
	request.Header.Set("X-Flamingohold-Attempt-Id", id)
	request.Header.Set("X-Flamingohold-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+clientKey)
	out := reply{id: id, sentAt: time.Now()}
	response, err := client.Do(request)
	if err != nil {
		out.err = err
		rec.add("client: request %s to %s: error %v", id, r.name, err)
		return out
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	out.status, out.header, out.body, out.err = response.StatusCode, response.Header, string(content), err
	rec.add("client: request %s to %s: status %d, seal %q, %d bytes, error %v", id, r.name, response.StatusCode,
		response.Header.Get("X-Flamingohold-Response-Seal"), len(content), err)
	return out
}

// newClient returns a client with channels of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}, Timeout: 20 * time.Second}
}
