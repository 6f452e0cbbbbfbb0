package deployment

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// firstPort and lastPort lie below the ports that Linux gives to outgoing
// connections by default (from 32768).
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// portAllocator hands out free loopback addresses.
type portAllocator struct{ next int }

func newPortAllocator() *portAllocator {
	return &portAllocator{next: firstPort + rand.IntN(lastPort-firstPort)}
}

// address returns an address on which nothing listens.
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
