package configuration

import (
	"slices"

	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/fleet"
	"github.com/flamingohold/flamingohold/internal/version/service"
)

// Configuration is one version of the configuration. It is immutable after New,
// so it can be shared without a lock.
type Configuration struct {
	// Version increases with each publication. Configurations with the same
	// version number are ordered by Hash.
	Version uint64
	// Hash is the hash of the bundle's manifest, a SHA-256 in lower-case hex.
	Hash     string
	Fleet    fleet.Fleet
	Services []service.Service
	Accounts []account.Account

	// accountsByKey maps the KeySHA256 of an account to its index in Accounts.
	accountsByKey map[string]int
	// accountsByName maps the name of an account to its index in Accounts. Each
	// attempt looks up an account, and a linear search among 13,000 accounts
	// takes 50 us.
	accountsByName map[string]int
}

// New returns a configuration with the given content, which must not be
// changed afterwards.
func New(version uint64, hash string, f fleet.Fleet, services []service.Service, accounts []account.Account) *Configuration {
	c := &Configuration{
		Version:        version,
		Hash:           hash,
		Fleet:          f,
		Services:       services,
		Accounts:       accounts,
		accountsByKey:  make(map[string]int, len(accounts)),
		accountsByName: make(map[string]int, len(accounts)),
	}
	for i := range accounts {
		c.accountsByKey[accounts[i].KeySHA256] = i
		c.accountsByName[accounts[i].Name] = i
	}
	return c
}

// AccountByKey returns the client account with the key, nil if there is none. It
// compares only the hash of the key.
func (c *Configuration) AccountByKey(key string) *account.Account {
	i, ok := c.accountsByKey[account.HashKey(key)]
	if !ok {
		return nil
	}
	return &c.Accounts[i]
}

// AccountByName returns the client account with the name, nil if there is none.
func (c *Configuration) AccountByName(name string) *account.Account {
	i, ok := c.accountsByName[name]
	if !ok {
		return nil
	}
	return &c.Accounts[i]
}

// Service returns the service with the name, nil if there is none.
func (c *Configuration) Service(name string) *service.Service {
	i := slices.IndexFunc(c.Services, func(s service.Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &c.Services[i]
}

// ServiceForModel returns the engine service that serves the model, nil if
// there is none.
func (c *Configuration) ServiceForModel(model string) *service.Service {
	i := slices.IndexFunc(c.Services, func(s service.Service) bool {
		return s.Kind == service.KindEngine && s.HasModel(model)
	})
	if i < 0 {
		return nil
	}
	return &c.Services[i]
}

// ServiceForRequest returns the plain service for requests with the host and
// path, nil if there is none.
func (c *Configuration) ServiceForRequest(host, path string) *service.Service {
	i := slices.IndexFunc(c.Services, func(s service.Service) bool {
		return s.Kind == service.KindPlain && s.Matches(host, path)
	})
	if i < 0 {
		return nil
	}
	return &c.Services[i]
}

// OlderThan reports whether c is older than the bundle with the version and
// hash. The order is total and the same in all processes: by version, then by
// hash. A nil configuration is older than every bundle.
func (c *Configuration) OlderThan(version uint64, hash string) bool {
	if c == nil || version != c.Version {
		return c == nil || version > c.Version
	}
	return hash > c.Hash
}
