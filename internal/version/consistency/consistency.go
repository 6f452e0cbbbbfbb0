package consistency

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/manifest"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

// Sections of a configuration.
const (
	SectionFleet    = "fleet"
	SectionServices = "services"
	SectionAccounts = "accounts"
)

const (
	minLengthQuantile = 0.5
	maxLengthQuantile = 0.99
)

// Finding is one fault in a configuration.
type Finding struct {
	// Section is one of the Section constants.
	Section string
	// Index is the position of the service or account, 0 for the fleet.
	Index int
	// Path is a JSON pointer within the fleet, service or account.
	Path string
	// Reason states the fault.
	Reason string
	// Suggestion states how to correct it.
	Suggestion string
}

// String returns the position and the reason in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s[%d]%s: %s", f.Section, f.Index, f.Path, f.Reason)
}

// checker collects the findings of one section.
type checker struct {
	section  string
	index    int
	findings []Finding
}

// Check returns every fault in the configuration.
func Check(f fleet.Fleet, services []service.Service, accounts []account.Account) []Finding {
	findings := checkFleet(f)
	findings = append(findings, checkServices(f, services)...)
	return append(findings, checkAccounts(accounts)...)
}

// require adds a finding unless the condition holds.
func (c *checker) require(condition bool, path, suggestion, format string, args ...any) {
	if condition {
		return
	}
	c.findings = append(c.findings, Finding{c.section, c.index, path, fmt.Sprintf(format, args...), suggestion})
}

func checkFleet(f fleet.Fleet) []Finding {
	c := &checker{section: SectionFleet}
	c.require(len(f.DataCentres) > 0, "/data_centres", "list every data centre", "no data centre is listed")
	indexes := make(map[string]int)
	for i, d := range f.DataCentres {
		path := fmt.Sprintf("/data_centres/%d", i)
		c.require(d.Name != "", path+"/name", "name the data centre", "the name is empty")
		c.require(d.Region != "", path+"/region", "name the region", "the region is empty")
		known := d.State == fleet.StateInService || d.State == fleet.StateOutOfService
		c.require(known, path+"/state", "use in_service or out_of_service", "state %q is unknown", d.State)
		earlier, repeated := indexes[d.Name]
		c.require(!repeated, path+"/name", "list it once", "data centre %q is also entry %d", d.Name, earlier)
		indexes[d.Name] = i
	}
	c.checkPolicy(f.Policy)
	c.require(f.WeightStore.BytesPerSecond >= 0, "/weight_store/bytes_per_second", "use 0 for no limit", "the rate is negative")
	return c.findings
}

func (c *checker) checkPolicy(p fleet.Policy) {
	routings := []string{"load_aware", "round_robin", "least_outstanding", "power_of_two"}
	c.require(slices.Contains(routings, p.Routing), "/policy/routing", "use one of "+strings.Join(routings, ", "),
		"routing %q is unknown", p.Routing)
	inRange := p.LengthQuantile >= minLengthQuantile && p.LengthQuantile <= maxLengthQuantile
	c.require(inRange, "/policy/length_quantile", "use a value from 0.5 to 0.99", "quantile %v is out of range", p.LengthQuantile)
	c.require(p.TargetStepMillis > 0, "/policy/target_step_ms", "use a positive value, such as 76", "the time between tokens is not positive")
	c.require(p.SubsetSize >= 0, "/policy/subset_size", "use 0 for all instances", "the subset size is negative")
}

// owner is the service that uses a unique value, and the JSON pointer to the
// value.
type owner struct{ service, path string }

// uniqueness holds the values that only one service may use.
type uniqueness struct {
	models, hosts map[string]owner
	names         map[string]bool
}

func checkServices(f fleet.Fleet, services []service.Service) []Finding {
	c := &checker{section: SectionServices}
	u := uniqueness{make(map[string]owner), make(map[string]owner), make(map[string]bool)}
	for i := range services {
		c.index = i
		s := &services[i]
		c.checkService(s)
		c.checkUnique(s, u)
		c.checkDataCentres(f, s)
		for j := range services[:i] {
			c.checkPrefixes(s, &services[j])
		}
	}
	return c.findings
}

func (c *checker) checkService(s *service.Service) {
	c.require(s.Name != "", "/name", "name the service", "the name is empty")
	switch s.Kind {
	case service.KindEngine:
		c.require(len(s.Models) > 0, "/models", "list the models that the engines serve", "an engine service has no model")
	case service.KindPlain:
		c.require(len(s.Hosts)+len(s.PathPrefixes) > 0, "/path_prefixes", "set hosts or path_prefixes", "no request can reach the service")
	default:
		c.require(false, "/kind", "use engine or plain", "kind %q is unknown", s.Kind)
	}
	c.checkOrders(s)
	c.checkSlots(s)
	for i, p := range s.PathPrefixes {
		path := fmt.Sprintf("/path_prefixes/%d", i)
		c.require(strings.HasPrefix(p, "/"), path, "start it with /", "prefix %q does not start with /", p)
		c.require(!slices.Contains(s.PathPrefixes[:i], p), path, "list it once", "prefix %q is repeated", p)
	}
}

func (c *checker) checkOrders(s *service.Service) {
	for i, m := range s.Orders.Methods {
		path := fmt.Sprintf("/orders/methods/%d", i)
		c.require(m != "" && m == strings.ToUpper(m), path, "write it in upper case", "method %q is not in upper case", m)
	}
	needsSlots := s.Kind == service.KindPlain && len(s.Orders.Methods) > 0 && !s.Orders.UpstreamDeduplicates
	c.require(!needsSlots || len(s.Slots) > 0, "/slots", "list the slots of the service's instances",
		"requests that run at most once require slots, to which their idempotency keys are mapped")
}

func (c *checker) checkSlots(s *service.Service) {
	for i, slot := range s.Slots {
		path := fmt.Sprintf("/slots/%d", i)
		c.require(slot != "", path, "name the slot", "the slot is empty")
		c.require(!slices.Contains(s.Slots[:i], slot), path, "list it once", "slot %q is repeated", slot)
	}
}

func (c *checker) checkUnique(s *service.Service, u uniqueness) {
	c.require(!u.names[s.Name], "/name", "choose another name", "another service is also named %q", s.Name)
	u.names[s.Name] = true
	for i, m := range s.Models {
		path := fmt.Sprintf("/models/%d/name", i)
		c.require(m.Name != "", path, "name the model", "the name is empty")
		c.claim(u.models, m.Name, owner{s.Name, path}, "model")
	}
	for i, h := range s.Hosts {
		path := fmt.Sprintf("/hosts/%d", i)
		c.require(h != "", path, "name the host", "the host is empty")
		c.claim(u.hosts, h, owner{s.Name, path}, "host")
	}
}

// claim records the owner of the value and adds a finding if the value already
// has one.
func (c *checker) claim(owners map[string]owner, value string, newOwner owner, noun string) {
	earlier, claimed := owners[value]
	c.require(!claimed, newOwner.path, "list it once", "%s %q is also at %s of service %q", noun, value, earlier.path, earlier.service)
	owners[value] = newOwner
}

// checkDataCentres checks that the service's data centres are listed in the
// fleet. It checks nothing if the fleet lists no data centre, which is a fault
// of its own.
func (c *checker) checkDataCentres(f fleet.Fleet, s *service.Service) {
	if len(f.DataCentres) == 0 {
		return
	}
	for i, name := range s.DataCentres {
		known := slices.ContainsFunc(f.DataCentres, func(d fleet.DataCentre) bool { return d.Name == name })
		c.require(known, fmt.Sprintf("/data_centres/%d", i), "list it in fleet.flamingohold.json", "data centre %q is unknown", name)
	}
}

// checkPrefixes checks that no path prefix of one service is a prefix of
// another service's. Otherwise, the order of the services in the bundle would
// decide which of them receives a request.
func (c *checker) checkPrefixes(s, earlier *service.Service) {
	for i, p := range s.PathPrefixes {
		for _, q := range earlier.PathPrefixes {
			overlap := strings.HasPrefix(p, q) || strings.HasPrefix(q, p)
			c.require(!overlap, fmt.Sprintf("/path_prefixes/%d", i), "make the prefixes distinct",
				"prefix %q overlaps with %q of service %q", p, q, earlier.Name)
		}
	}
}

func checkAccounts(accounts []account.Account) []Finding {
	c := &checker{section: SectionAccounts}
	names := make(map[string]bool, len(accounts))
	namesByKey := make(map[string]string, len(accounts))
	emptyKeyHash := account.HashKey("")
	for i, a := range accounts {
		c.index = i
		c.require(a.Name != "", "/name", "name the account", "the name is empty")
		c.require(!names[a.Name], "/name", "choose another name", "another account is also named %q", a.Name)
		c.require(manifest.ValidHash(a.KeySHA256), "/key_sha256", "set it to the SHA-256 of the key in lower-case hex", "the hash is not 64 lower-case hex digits")
		c.require(a.KeySHA256 != emptyKeyHash, "/key_sha256", "use the SHA-256 of the account's key", "the hash is the SHA-256 of an empty key")
		c.require(namesByKey[a.KeySHA256] == "", "/key_sha256", "give each account its own key", "account %q has the same key", namesByKey[a.KeySHA256])
		c.require(a.RequestsPerSecond >= 0 && a.Concurrency >= 0, "", "use 0 for no limit", "requests_per_second or concurrency is negative")
		c.require(a.Weight >= 0, "/weight", "use 0 for the default of 1", "the weight is negative")
		names[a.Name] = true
		namesByKey[a.KeySHA256] = cmp.Or(a.Name, "?")
	}
	return c.findings
}
