package demand

import "time"

// Path is the path of the call on a gateway's peer listener.
const Path = "/v1/demand"

const (
	// Interval is the time between two reports of an account that needs more
	// than it may use without a lease.
	Interval = time.Second
	// Lease is how long a share is valid, by the clock of each side: at the
	// gateway from the sending of the report, at the home from its arrival, so
	// that the home's view ends later. It covers two lost reports.
	Lease = 3 * time.Second
)

// Report is one gateway's demand for accounts of one home.
type Report struct {
	// Gateway identifies the reporting gateway.
	Gateway  string    `json:"gateway"`
	Accounts []Account `json:"accounts"`
}

// Account is the demand for one client account.
type Account struct {
	Name string `json:"name"`
	// RateLimit and ConcurrencyLimit are the account's limits over all gateways
	// in the configuration of the given version, 0 for none. The home uses those
	// of the newest version.
	RateLimit            float64 `json:"rate_limit,omitempty"`
	ConcurrencyLimit     int     `json:"concurrency_limit,omitempty"`
	ConfigurationVersion uint64  `json:"configuration_version,omitempty"`
	// Rate is the recent rate of requests per second, whether accepted or not.
	Rate float64 `json:"rate"`
	// InUse is the number of running requests, and Wanted that number with the
	// requests that were refused since the last report.
	InUse  int `json:"in_use"`
	Wanted int `json:"wanted"`
}

// Shares is the answer to a report.
type Shares struct {
	Accounts []Share `json:"accounts"`
}

// Share is what the gateway may use of one account's limits.
type Share struct {
	Name        string  `json:"name"`
	Rate        float64 `json:"rate"`
	Concurrency int     `json:"concurrency"`
}
