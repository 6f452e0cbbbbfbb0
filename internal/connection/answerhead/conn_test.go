package answerhead_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/connection/answerhead"
	"github.com/flamingohold/flamingohold/internal/standin/rawanswer"
)

func get(t *testing.T, client *http.Client, address string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, http.NoBody)
	require.NoError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a malformed head that is missed because it is not the first on its
// connection, and against bodies that are checked as heads.
func TestEachHeadOfAKeptConnectionIsChecked(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nHTTP/1.1 000 Error\r\n"
	answers := []string{sound, sound, "HTTP/1.1 000 Error\r\nContent-Length: 0\r\n\r\n"}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_ = listener.Close()
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for _, answer := range answers {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, answer)
		}
		_, _ = io.Copy(io.Discard, c)
	}()
	var dialled atomic.Int32
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled.Add(1)
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: answerhead.DialKept(dial)}}
	for range 2 {
		body, err := get(t, client, listener.Addr().String())
		require.NoError(t, err)
		require.Equal(t, sound[len(sound)-20:], body)
	}
	require.EqualValues(t, 1, dialled.Load())
	_, err = get(t, client, listener.Addr().String())
	require.Error(t, err)
}

// Guards against the rest of a request whose body is written while the answer arrives: it
// must not start the check of another head.
func TestBodyOfAnEarlyAnswerIsNotCheckedAsAHead(t *testing.T) {
	const body = "HTTP/1.1 000 Error\r\n\r\n"
	address := rawanswer.Serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n"+body)
	dial := answerhead.Dial(new(net.Dialer).DialContext)
	c, err := dial(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.WriteString(c, "cd")
	require.NoError(t, err)
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, body, string(content))
}

// Guards against a connection that seems to be closed by its peer although a write got a reset.
func TestResetThatAWriteGotIsReturnedByRead(t *testing.T) {
	for _, wrap := range []func(answerhead.DialFunc) answerhead.DialFunc{answerhead.Dial, answerhead.DialKept} {
		address := rawanswer.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", rawanswer.Reset)
		c, err := wrap(new(net.Dialer).DialContext)(t.Context(), "tcp", address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 33554432\r\n\r\n")
		require.NoError(t, err)
		_, err = c.Write(make([]byte, 32<<20))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = io.ReadAll(c)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}
