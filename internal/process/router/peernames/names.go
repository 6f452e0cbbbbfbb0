package peernames

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxNames bounds the names that are decoded.
const maxNames = 8192

var (
	errTruncated = errors.New("names are truncated")
	errTooMany   = errors.Newf("more than %d names", maxNames)
	errAddress   = errors.New("no address with a port")
)

// Name names a router.
type Name struct {
	// Address is its peer address.
	Address string
	// Lag is how far the newest known heartbeat of the router is behind that of the
	// sender.
	Lag int64
}

// Encode returns the names in encoded form, and those that it cannot encode because
// their address is no IPv4 address with a port.
func Encode(names []Name) (encoded []byte, rest []Name) {
	type entry struct {
		key uint64
		lag int64
	}
	entries := make([]entry, 0, len(names))
	for _, n := range names {
		key, ok := keyOf(n.Address)
		if !ok || len(entries) == maxNames {
			rest = append(rest, n)
			continue
		}
		entries = append(entries, entry{key, n.Lag})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.key, b.key) })
	previous := uint64(0)
	for _, e := range entries {
		encoded = binary.AppendUvarint(encoded, e.key-previous)
		encoded = binary.AppendVarint(encoded, e.lag)
		previous = e.key
	}
	return encoded, rest
}

// keyOf returns the port and the IPv4 address as one number.
func keyOf(address string) (uint64, bool) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() {
		return 0, false
	}
	ip := a.Addr().As4()
	return uint64(a.Port())<<32 | uint64(binary.BigEndian.Uint32(ip[:])), true
}

// Decode returns the names that Encode encoded.
func Decode(encoded []byte) ([]Name, error) {
	var names []Name
	key := uint64(0)
	for len(encoded) > 0 {
		if len(names) == maxNames {
			return nil, errTooMany
		}
		difference, n := binary.Uvarint(encoded)
		if n <= 0 {
			return nil, errTruncated
		}
		lag, m := binary.Varint(encoded[n:])
		if m <= 0 {
			return nil, errTruncated
		}
		encoded = encoded[n+m:]
		key += difference
		address, err := addressOf(key)
		if err != nil {
			return nil, err
		}
		names = append(names, Name{address, lag})
	}
	return names, nil
}

func addressOf(key uint64) (string, error) {
	if key>>48 != 0 {
		return "", errAddress
	}
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(key))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(key>>32)).String(), nil
}
