package answerhead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http/httpguts"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
)

// heads are heads of answers, and whether they are well formed.
var heads = map[string]bool{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\x00 HTTP/1.1 000": true,
	"HTTP/1.0 404\r\n\r\n":                                         true,
	"HTTP/1.1 599 \nField: a\n\n":                                  true,
	"HTTP/1.1 299 a\x00b\r\n\r\n":                                  true,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\n\r\n":            true,
	"HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 000 Error\r\n\r\n": false,
	"HTTP/1.1 000 Error\r\n\r\n":                                   false,
	"HTTP/1.1 099 Error\r\n\r\n":                                   false,
	"HTTP/1.1 101 Switching Protocols\r\n\r\n":                     false,
	"HTTP/1.1 600 Error\r\n\r\n":                                   false,
	"HTTP/1.1 +20 Error\r\n\r\n":                                   false,
	"HTTP/1.1 -00 Error\r\n\r\n":                                   false,
	"HTTP/1.1 20 Error\r\n\r\n":                                    false,
	"HTTP/1.1 2000 Error\r\n\r\n":                                  false,
	"HTTP/1.1 200\tOK\r\n\r\n":                                     false,
	"HTTP/1.1  200 OK\r\n\r\n":                                     false,
	"HTTP/1.1 2\r\n\r\n":                                           false,
	"HTTP/2.0 200 OK\r\n\r\n":                                      false,
	"HTTP/1.x 200 OK\r\n\r\n":                                      false,
	"http/1.1 200 OK\r\n\r\n":                                      false,
	" HTTP/1.1 200 OK\r\n\r\n":                                     false,
	"\r\nHTTP/1.1 200 OK\r\n\r\n":                                  false,
	"HTTP/1.1 200 OK\r\n\rA: b\r\n\r\n":                            false,
	"HTTP/1.1 200 OK\r\nX-!#$%&'*+.^_`|~9: \x00\r\nB:\r\n\r\n":     true,
	"HTTP/1.1 200 OK\r\n A: b\r\n\r\n":                             false,
	"HTTP/1.1 200 OK\r\nA: b\r\n\tC: d\r\n\r\n":                    false,
	"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n":                         false,
	"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                             false,
	"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                            false,
	"HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n":                          false,
	"HTTP/1.1 200 OK\r\nA\x80: b\r\n\r\n":                          false,
	"HTTP/1.1 200 OK\r\nA\r: b\r\n\r\n":                            false,
	"HTTP/1.1 200 OK\r\n: b\r\n\r\n":                               false,
	"HTTP/1.1 200 OK\r\nA\r\n\r\n":                                 false,
	"HTTP/1.1 103 Hints\r\nA : b\r\n\r\nHTTP/1.1 200\r\n\r\n":      false,
	"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200\r\nA : b\r\n\r\n":      false,
}

// Guards against heads that are judged by where the network divides them.
func TestHeadIsCheckedInPiecesOfAnySize(t *testing.T) {
	for head, valid := range heads {
		for size := 1; size <= len(head); size++ {
			var c answerhead.Checker
			err := checkInPieces(&c, head, size)
			if !valid {
				require.ErrorIs(t, err, answerhead.ErrMalformed, "%q in pieces of %d", head, size)
				continue
			}
			require.NoError(t, err, "%q in pieces of %d", head, size)
			require.True(t, c.Done(), head)
		}
	}
}

func checkInPieces(c *answerhead.Checker, head string, size int) error {
	for start := 0; start < len(head); start += size {
		if err := c.Check([]byte(head[start:min(start+size, len(head))])); err != nil {
			return err
		}
	}
	return nil
}

// FuzzChecker guards against a head that the check accepts and the parser reads in another
// way: with a status that no answer can have, with a name that is no token, or as complete
// while the check expects more.
func FuzzChecker(f *testing.F) {
	for head := range heads {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c answerhead.Checker
		if c.Check(data) != nil {
			return
		}
		reader := bufio.NewReader(strings.NewReader(string(data)))
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			require.GreaterOrEqual(t, response.StatusCode, http.StatusContinue)
			require.Less(t, response.StatusCode, 600)
			require.NotEqual(t, http.StatusSwitchingProtocols, response.StatusCode)
			for name := range response.Header {
				require.True(t, httpguts.ValidHeaderFieldName(name), name)
			}
			if response.StatusCode >= http.StatusOK {
				require.True(t, c.Done())
				return
			}
		}
	})
}

// BenchmarkChecker checks the head of an ordinary answer.
func BenchmarkChecker(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 02:30:00 GMT\r\nContent-Type: text/event-stream\r\n" +
		"Cache-Control: no-store\r\nX-Request-Id: 9c41d07be2a35f68\r\nTransfer-Encoding: chunked\r\n\r\n")
	b.SetBytes(int64(len(head)))
	var c answerhead.Checker
	for b.Loop() {
		c.Reset()
		if err := c.Check(head); err != nil {
			b.Fatal(err)
		}
	}
}
