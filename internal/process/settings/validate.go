package settings

import (
	"net"
	"strings"

	"github.com/cockroachdb/errors"
)

// requirement is a field without which a process cannot run.
type requirement struct{ name, value string }

// ValidateGateway returns an error that names every fault in the settings of a
// gateway.
func (s *Settings) ValidateGateway() error {
	return s.validate(
		[]requirement{{"caller_address", s.CallerAddress}, {"instance_list", s.InstanceList}},
		[]requirement{{"caller_address", s.CallerAddress}},
	)
}

// ValidateSidecar returns an error that names every fault in the settings of a
// sidecar.
func (s *Settings) ValidateSidecar() error {
	return s.validate(
		[]requirement{{"service", s.Service}, {"instance", s.Instance}, {"upstream_address", s.UpstreamAddress}},
		[]requirement{{"upstream_address", s.UpstreamAddress}},
	)
}

func (s *Settings) validate(required, addresses []requirement) error {
	required = append([]requirement{
		{"name", s.Name},
		{"data_centre", s.DataCentre},
		{"region", s.Region},
		{"peer_address", s.PeerAddress},
		{"admin_address", s.AdminAddress},
		{"peer_secret_file", s.PeerSecretFile},
	}, required...)
	addresses = append([]requirement{
		{"peer_address", s.PeerAddress},
		{"admin_address", s.AdminAddress},
		{"configuration_service", s.ConfigurationService},
		{"instance_list", s.InstanceList},
	}, addresses...)
	for _, p := range s.GatewayPeers {
		addresses = append(addresses, requirement{"gateway_peers", p})
	}
	faults := missing(required)
	faults = append(faults, malformed(addresses)...)
	if strings.ContainsAny(s.Instance, ".:") {
		faults = append(faults, "instance contains a dot or colon")
	}
	if len(faults) > 0 {
		return errors.Newf("settings: %s", strings.Join(faults, "; "))
	}
	return nil
}

func missing(required []requirement) []string {
	var faults []string
	for _, r := range required {
		if r.value == "" {
			faults = append(faults, r.name+" is missing")
		}
	}
	return faults
}

func malformed(addresses []requirement) []string {
	var faults []string
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); a.value != "" && err != nil {
			faults = append(faults, a.name+" "+a.value+" is no host:port")
		}
	}
	return faults
}
