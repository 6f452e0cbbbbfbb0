package demand

import "time"

// Path is the HTTP path for reports on a gateway's peer listener.
const Path = "/v1/demand"

const (
	// ReportInterval is the time between two reports of an account that may need
	// more than its equal share.
	ReportInterval = time.Second
	// LeaseDuration is how long a share is valid, by the clock of each side. The
	// gateway counts from when it sent the report, and the home gateway from when
	// it received the report, so that the lease ends later at the home gateway. A
	// lease outlasts two lost reports.
	LeaseDuration = 3 * time.Second
)

// Report is one gateway's demand for accounts that share one home gateway.
type Report struct {
	// Gateway identifies the reporting gateway.
	Gateway  string    `json:"gateway"`
	Accounts []Account `json:"accounts"`
}

// Account is the demand for one client account.
type Account struct {
	Name string `json:"name"`
	// RateLimit (requests per second) and ConcurrencyLimit (requests) are the
	// account's limits over all gateways in the configuration of the given
	// version, 0 for none. The home gateway uses those of the newest version.
	RateLimit            float64 `json:"rate_limit,omitempty"`
	ConcurrencyLimit     int     `json:"concurrency_limit,omitempty"`
	ConfigurationVersion uint64  `json:"configuration_version,omitempty"`
	// Rate is the recent rate of requests per second, accepted or not.
	Rate float64 `json:"rate"`
	// InUse is the number of running requests. Wanted is InUse plus the number of
	// requests refused since the last report.
	InUse  int `json:"in_use"`
	Wanted int `json:"wanted"`
}

// Shares is the response to a report.
type Shares struct {
	Accounts []Share `json:"accounts"`
}

// Share is the part of one account's limits that the gateway may use: Rate in
// requests per second and Concurrency in requests.
type Share struct {
	Name        string  `json:"name"`
	Rate        float64 `json:"rate"`
	Concurrency int     `json:"concurrency"`
}
