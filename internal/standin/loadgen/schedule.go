package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
)

// Kinds of requests.
const (
	KindPrompt = "prompt"
	KindRead   = "read"
	KindOrder  = "order"
)

// Request is one request with its intended send time.
type Request struct {
	// At is relative to the start of the load.
	At      time.Duration
	Kind    string
	Account string
	// Prompt and Length are set for prompts. Length is the number of tokens of
	// the complete answer.
	Prompt string
	Length int
	// ID is unique in the load; it is the body of orders.
	ID string
}

// Share is the part of one account in the load.
type Share struct {
	Account string
	Weight  float64
}

// Lengths is a log-normal distribution of output lengths in tokens.
type Lengths struct {
	Mean, Sigma float64
	// Max bounds the length.
	Max int
}

// Shape describes a load.
type Shape struct {
	Seed     uint64
	Duration time.Duration
	// Rate returns the requests per second at a time; it never exceeds MaxRate.
	Rate    func(time.Duration) float64
	MaxRate float64
	Shares  []Share
	Lengths Lengths
	// PromptTokens is the length of each prompt.
	PromptTokens int
	// Prefixes is the number of different beginnings that make up three
	// quarters of each prompt, 0 for unique prompts.
	Prefixes int
	// ReadFraction and OrderFraction are the parts of the requests that go to
	// the plain service.
	ReadFraction, OrderFraction float64
	// MaxRequests bounds the load.
	MaxRequests int
}

// Schedule returns the requests of a load in the order of their times. The
// arrivals are Poisson with the shape's rate. Equal shapes give equal loads.
func Schedule(s Shape) []Request {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	var requests []Request
	at := time.Duration(0)
	for len(requests) < s.MaxRequests {
		at += time.Duration(random.ExpFloat64() / s.MaxRate * float64(time.Second))
		if at >= s.Duration {
			break
		}
		if random.Float64() < s.Rate(at)/s.MaxRate {
			requests = append(requests, s.request(random, at, len(requests)))
		}
	}
	return requests
}

func (s *Shape) request(random *rand.Rand, at time.Duration, number int) Request {
	r := Request{At: at, Kind: KindPrompt, Account: s.account(random), ID: fmt.Sprintf("%x-%d", s.Seed, number)}
	switch u := random.Float64(); {
	case u < s.ReadFraction:
		r.Kind = KindRead
	case u < s.ReadFraction+s.OrderFraction:
		r.Kind = KindOrder
	default:
		r.Length = s.Lengths.draw(random)
		r.Prompt = s.prompt(random, r.ID, r.Length)
	}
	return r
}

func (s *Shape) account(random *rand.Rand) string {
	total := 0.0
	for _, share := range s.Shares {
		total += share.Weight
	}
	u := random.Float64() * total
	for _, share := range s.Shares {
		u -= share.Weight
		if u < 0 {
			return share.Account
		}
	}
	return s.Shares[len(s.Shares)-1].Account
}

// draw returns a length between 1 and Max.
func (l Lengths) draw(random *rand.Rand) int {
	mu := math.Log(l.Mean) - l.Sigma*l.Sigma/2
	n := int(math.Round(math.Exp(mu + l.Sigma*random.NormFloat64())))
	return min(max(n, 1), l.Max)
}

const (
	bytesPerToken = 4
	filler        = "stand menu "
)

// prompt returns a text of PromptTokens tokens that sets the output length and
// is different for each request.
func (s *Shape) prompt(random *rand.Rand, id string, length int) string {
	size := s.PromptTokens * bytesPerToken
	start := id + " "
	if s.Prefixes > 0 {
		start = fmt.Sprintf("prefix %d ", random.IntN(s.Prefixes))
	}
	end := " " + id + " " + engine.LengthMark(length)
	middle := strings.Repeat(filler, size/len(filler)+1)
	room := max(0, size-len(start)-len(end))
	return start + middle[:room] + end
}
