package settings

import (
	"net"
	"strings"

	"github.com/cockroachdb/errors"
)

// fieldValue is the name and the value of a field to validate.
type fieldValue struct{ name, value string }

// ValidateGateway returns an error that lists every fault in the settings of a
// gateway, nil if there is none.
func (s *Settings) ValidateGateway() error {
	return s.validate(
		[]fieldValue{{"caller_address", s.CallerAddress}, {"instance_list", s.InstanceList}},
		[]fieldValue{{"caller_address", s.CallerAddress}},
	)
}

// ValidateSidecar returns an error that lists every fault in the settings of a
// sidecar, nil if there is none.
func (s *Settings) ValidateSidecar() error {
	return s.validate(
		[]fieldValue{{"service", s.Service}, {"instance", s.Instance}, {"upstream_address", s.UpstreamAddress}},
		[]fieldValue{{"upstream_address", s.UpstreamAddress}},
	)
}

func (s *Settings) validate(required, addresses []fieldValue) error {
	required = append([]fieldValue{
		{"name", s.Name},
		{"data_centre", s.DataCentre},
		{"region", s.Region},
		{"peer_address", s.PeerAddress},
		{"admin_address", s.AdminAddress},
		{"peer_secret_file", s.PeerSecretFile},
	}, required...)
	addresses = append([]fieldValue{
		{"peer_address", s.PeerAddress},
		{"admin_address", s.AdminAddress},
		{"configuration_service", s.ConfigurationService},
		{"instance_list", s.InstanceList},
	}, addresses...)
	for _, p := range s.GatewayPeers {
		addresses = append(addresses, fieldValue{"gateway_peers", p})
	}
	faults := missingFields(required)
	faults = append(faults, malformedAddresses(addresses)...)
	if strings.ContainsAny(s.Instance, ".:") {
		faults = append(faults, "instance contains a dot or colon")
	}
	if len(faults) > 0 {
		return errors.Newf("settings: %s", strings.Join(faults, "; "))
	}
	return nil
}

func missingFields(required []fieldValue) []string {
	var faults []string
	for _, r := range required {
		if r.value == "" {
			faults = append(faults, r.name+" is missing")
		}
	}
	return faults
}

func malformedAddresses(addresses []fieldValue) []string {
	var faults []string
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); a.value != "" && err != nil {
			faults = append(faults, a.name+" "+a.value+" is not a host:port pair")
		}
	}
	return faults
}
