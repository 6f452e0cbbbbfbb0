package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
)

// Kinds of requests: prompts for engines, and reads (repeatable) and orders
// (non-repeatable) for the plain service.
const (
	KindPrompt = "prompt"
	KindRead   = "read"
	KindOrder  = "order"
)

// Request is one request with its intended send time.
type Request struct {
	// At is the intended send time, relative to the start of the load.
	At time.Duration
	// Kind is one of the Kind constants.
	Kind    string
	Account string
	// Prompt and Length are set for prompts. Length is the number of tokens of
	// the complete answer.
	Prompt string
	Length int
	// ID is unique in the load. The body of an order contains it.
	ID string
}

// Share is the share of one client account in the load. Weights are relative to
// the sum of all weights.
type Share struct {
	Account string
	Weight  float64
}

// LengthDistribution is a log-normal distribution of output lengths in tokens.
type LengthDistribution struct {
	Mean, Sigma float64
	// Max bounds the length.
	Max int
}

// Shape is the specification of a load.
type Shape struct {
	Seed     uint64
	Duration time.Duration
	// Rate returns the requests per second at a time since the start of the load.
	// It must not exceed MaxRate.
	Rate    func(time.Duration) float64
	MaxRate float64
	Shares  []Share
	Lengths LengthDistribution
	// PromptTokens is the length of each prompt.
	PromptTokens int
	// Prefixes is the number of different prefixes that the prompts share, 0 for
	// prompts without a shared prefix. Prompts with the same prefix differ only
	// in their last bytes, which hold the ID and the length mark.
	Prefixes int
	// ReadFraction and OrderFraction are the fractions of the requests that are
	// reads and orders for the plain service.
	ReadFraction, OrderFraction float64
	// MaxRequests bounds the number of requests.
	MaxRequests int
}

// Schedule returns the requests of a load in the order of their send times. The
// arrivals are a Poisson process with the rate of the shape. Equal shapes produce
// equal loads.
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

// request returns a request of random kind, account and length.
func (s *Shape) request(random *rand.Rand, at time.Duration, number int) Request {
	r := Request{At: at, Kind: KindPrompt, Account: s.account(random), ID: fmt.Sprintf("%x-%d", s.Seed, number)}
	switch u := random.Float64(); {
	case u < s.ReadFraction:
		r.Kind = KindRead
	case u < s.ReadFraction+s.OrderFraction:
		r.Kind = KindOrder
	default:
		r.Length = s.Lengths.sample(random)
		r.Prompt = s.prompt(random, r.ID, r.Length)
	}
	return r
}

// account returns an account with a probability proportional to its weight.
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

// sample returns a random length between 1 and Max.
func (l LengthDistribution) sample(random *rand.Rand) int {
	mu := math.Log(l.Mean) - l.Sigma*l.Sigma/2
	n := int(math.Round(math.Exp(mu + l.Sigma*random.NormFloat64())))
	return min(max(n, 1), l.Max)
}

const (
	// bytesPerToken must equal the constant of the same name in package engine.
	bytesPerToken = 4
	filler        = "stand menu "
)

// prompt returns a text of PromptTokens tokens that differs for each request and
// ends with the mark that sets the output length of the stand-in engine.
func (s *Shape) prompt(random *rand.Rand, id string, length int) string {
	size := s.PromptTokens * bytesPerToken
	start := id + " "
	if s.Prefixes > 0 {
		start = fmt.Sprintf("prefix %d ", random.IntN(s.Prefixes))
	}
	end := " " + id + " " + engine.LengthMark(length)
	middle := strings.Repeat(filler, size/len(filler)+1)
	fillerBytes := max(0, size-len(start)-len(end))
	return start + middle[:fillerBytes] + end
}
