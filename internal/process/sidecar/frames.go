package sidecar

import (
	"net/http"
	"time"

	"github.com/flamingohold/flamingohold/internal/process/load"
	"github.com/flamingohold/flamingohold/internal/request/attempt"
	"github.com/flamingohold/flamingohold/internal/request/frame"
	"github.com/flamingohold/flamingohold/pkg/problem"
)

// heartbeatInterval is the longest time between two frames of a stream.
const heartbeatInterval = time.Second

// frameWriter writes the frames of one stream. It is not safe for concurrent
// use.
type frameWriter struct {
	writer http.ResponseWriter
	// flusher flushes writer.
	flusher *http.ResponseController
	buffer  []byte
	// report returns the load report to send to the requester, nil if none is due.
	report func() *load.Report
	// ticker fires when a heartbeat is due.
	ticker *time.Ticker
}

// newFrameWriter sets the response headers of a stream and returns its writer.
// id identifies the attempt or the generation that the stream belongs to.
func newFrameWriter(w http.ResponseWriter, id string, report func() *load.Report) *frameWriter {
	w.Header().Set(attempt.StreamIDHeader, id)
	w.Header().Set("Content-Type", frame.MediaType)
	w.Header().Set("Cache-Control", "no-store")
	return &frameWriter{writer: w, flusher: http.NewResponseController(w), report: report, ticker: time.NewTicker(heartbeatInterval)}
}

func (f *frameWriter) close() { f.ticker.Stop() }

// send writes a frame, with a load report if one is due.
func (f *frameWriter) send(message frame.Frame) error {
	message.Load = f.report()
	return f.write(message)
}

func (f *frameWriter) write(message frame.Frame) error {
	var err error
	f.buffer, err = message.Append(f.buffer[:0])
	if err != nil {
		return err
	}
	return f.flush()
}

func (f *frameWriter) flush() error {
	if _, err := f.writer.Write(f.buffer); err != nil {
		return err
	}
	return f.flusher.Flush()
}

func (f *frameWriter) heartbeat() error { return f.send(frame.Frame{Kind: frame.KindHeartbeat}) }

// heartbeatIfDue sends a heartbeat only if a load report is due, because tokens
// already show that the connection is alive.
func (f *frameWriter) heartbeatIfDue() error {
	select {
	case <-f.ticker.C:
	default:
		return nil
	}
	report := f.report()
	if report == nil {
		return nil
	}
	return f.write(frame.Frame{Kind: frame.KindHeartbeat, Load: report})
}

// tokens writes the tokens that follow the token with the number after.
func (f *frameWriter) tokens(after uint64, tokens [][]byte) error {
	f.buffer = f.buffer[:0]
	for i, data := range tokens {
		f.buffer = frame.AppendToken(f.buffer, after+uint64(i)+1, data)
	}
	return f.flush()
}

func (f *frameWriter) accepted(generationID string) error {
	return f.send(frame.Frame{Kind: frame.KindAccepted, GenerationID: generationID})
}

func (f *frameWriter) end(last uint64) error {
	return f.send(frame.Frame{Kind: frame.KindEnd, Seq: last})
}

func (f *frameWriter) failed(p problem.Problem) error {
	return f.send(frame.Frame{Kind: frame.KindFailed, Problem: &p})
}

func (f *frameWriter) response(r *attempt.Response, replayed bool) error {
	return f.send(frame.Frame{
		Kind: frame.KindResponse, Status: r.Status, Header: r.Header, Body: r.Body, Replayed: replayed,
	})
}
