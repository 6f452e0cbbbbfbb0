package deployment

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// firstPort and lastPort lie below the range from which Linux assigns ports to
// outgoing connections by default (from 32768).
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// portAllocator allocates free loopback addresses.
type portAllocator struct{ next int }

func newPortAllocator() *portAllocator {
	return &portAllocator{next: firstPort + rand.IntN(lastPort-firstPort)}
}

// address returns a loopback address on which no process listens.
func (a *portAllocator) address() (string, error) {
	for range lastPort - firstPort {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(a.next))
		a.next++
		if a.next > lastPort {
			a.next = firstPort
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, errors.Wrap(listener.Close(), "release port")
		}
	}
	return "", errors.New("no free loopback port")
}
