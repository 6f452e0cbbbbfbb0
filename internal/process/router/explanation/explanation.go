package explanation

import (
	"time"

	"github.com/flamingohold/flamingohold/internal/process/router/selection"
)

// MaxEngines bounds the listed upstreams that may get the request, and the listed ones
// that may not.
const MaxEngines = 20

// Outcome is what the router would do with the request now.
type Outcome string

const (
	// Send means that the request would be sent at once.
	Send Outcome = "send"
	// Wait means that the request would wait in the router's queue.
	Wait Outcome = "wait"
	// Refuse means that the request would be refused without being sent.
	Refuse Outcome = "refuse"
)

// Explanation says what a router would do with a request at one time.
type Explanation struct {
	Time       time.Time `json:"time"`
	DataCentre string    `json:"data_centre"`
	// TableVersion is the version of the route table, 0 if none is known.
	TableVersion int64  `json:"table_version"`
	Route        string `json:"route,omitempty"`
	Kind         string `json:"kind,omitempty"`
	// Service is the explained service of the route. Services lists all services of a
	// route that has several; each request chooses one of them by chance.
	Service  string  `json:"service,omitempty"`
	Services []Share `json:"services,omitempty"`
	Account  string  `json:"account,omitempty"`
	// PolicyEnabled is true if the policy of package dispatch is enabled for the service.
	// Otherwise requests are sent without a rank, and Priority and Rank are absent.
	PolicyEnabled bool `json:"policy_enabled"`
	Priority      *int `json:"priority,omitempty"`
	Rank          *int `json:"rank,omitempty"`
	// CanWait is true if the request may wait until SendBy, and Queue is then its place.
	CanWait bool       `json:"can_wait"`
	SendBy  *time.Time `json:"send_by,omitempty"`
	Queue   *Queue     `json:"queue,omitempty"`
	// PromptTokens is the size that is used instead of one that is missing or
	// implausible, 0 if the stated one is used.
	PromptTokens int     `json:"assumed_prompt_tokens,omitempty"`
	Outcome      Outcome `json:"outcome"`
	Reason       string  `json:"reason"`
	// Status is the status of a refusal.
	Status int `json:"status,omitempty"`
	// Reservation says how engines are asked for room, nil if they are not.
	Reservation *Reservation `json:"reservation,omitempty"`
	// TieMargin is the difference of scores below which chance decides.
	TieMargin float64 `json:"tie_margin,omitempty"`
	// Engines are the upstreams that may get the request, the lowest score first.
	Engines        []Engine `json:"engines"`
	EnginesOmitted int      `json:"engines_omitted"`
	// Excluded are the upstreams that may not get the request.
	Excluded        []Exclusion `json:"excluded"`
	ExcludedOmitted int         `json:"excluded_omitted"`
}

// Share is the share of a route's requests that a service gets.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Queue is the place that the request would have in the queue.
type Queue struct {
	// Ahead is the number of requests of the service that would be before it, and
	// Queued the number of all requests in the queue.
	Ahead  int `json:"ahead"`
	Queued int `json:"queued"`
}

// Reservation says how engines would be asked for room.
type Reservation struct {
	// Engines is the largest number of engines that would be asked at a time.
	Engines int `json:"engines"`
	// Headroom is the share of an engine's memory that must stay free.
	Headroom float64 `json:"headroom"`
}

// Engine is an upstream that may get the request.
type Engine struct {
	ID         string  `json:"id"`
	DataCentre string  `json:"data_centre"`
	Score      float64 `json:"score"`
	Parts      Parts   `json:"parts"`
	// IsTied is true if chance may prefer the upstream to the first.
	IsTied bool `json:"tied"`
	// IsAsked is true if the upstream would be asked for room until another grants it.
	IsAsked bool `json:"asked"`
	// HasRoom is true if the last report shows room for the request and the headroom.
	HasRoom bool `json:"has_room"`
	// Reported is true if a recent report is known. The report's fields are zero
	// otherwise.
	Reported    bool    `json:"reported"`
	ReportAge   float64 `json:"report_age_ms"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	MemoryUsed  int     `json:"memory_used"`
	MemoryTotal int     `json:"memory_total"`
	// EventTime is 0 if it is unknown.
	EventTime float64 `json:"event_time_ms"`
	// Calls is the number of requests of this router in progress there.
	Calls       int     `json:"calls"`
	FailureRate float64 `json:"failure_rate"`
	// StatedLimit is the rate limit that the upstream states, in requests per second,
	// nil if it states none. Whether a permit would be granted is not known.
	StatedLimit *float64 `json:"stated_limit_per_second,omitempty"`
}

// Parts are the parts of a score.
type Parts struct {
	Load           float64 `json:"load"`
	MemoryPressure float64 `json:"memory_pressure"`
	Remote         float64 `json:"remote"`
	Suspect        float64 `json:"suspect"`
	Failures       float64 `json:"failures"`
	Cold           float64 `json:"cold"`
	Pace           float64 `json:"pace"`
}

// PartsOf returns the parts of the score.
func PartsOf(p selection.Parts) Parts { return Parts(p) }

// ExclusionReason is why an upstream may not get the request.
type ExclusionReason string

const (
	// Removed means that the upstream is no longer listed.
	Removed ExclusionReason = "removed"
	// Leaving means that the upstream is about to stop.
	Leaving ExclusionReason = "leaving"
	// DataCentreOut means that the upstream's data centre is out of service.
	DataCentreOut ExclusionReason = "data_centre_out_of_service"
	// Paused means that the upstream has asked for a pause.
	Paused ExclusionReason = "paused"
	// RateUsedUp means that the upstream is cold and that its rate is used up.
	RateUsedUp ExclusionReason = "rate_used_up"
)

// Exclusion is an upstream that may not get the request.
type Exclusion struct {
	ID         string          `json:"id"`
	DataCentre string          `json:"data_centre"`
	Reason     ExclusionReason `json:"reason"`
	// TimeLeft is the time until the end of a pause, 0 if unknown.
	TimeLeft float64 `json:"time_left_ms,omitempty"`
}

// Milliseconds returns the duration in the unit of the messages.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
