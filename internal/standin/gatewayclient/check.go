package gatewayclient

import (
	"strconv"
	"strings"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
)

// Faults are the errors found in the tokens of one answer.
type Faults struct {
	// Lost counts the missing tokens, Duplicated the tokens that arrived more than
	// once or out of order.
	Lost, Duplicated int
	// WrongPrompt is true if a token belongs to another prompt or is malformed.
	WrongPrompt bool
	// MixedGenerations is true if the tokens come from more than one generation.
	MixedGenerations bool
}

// Any reports whether there is a fault.
func (f Faults) Any() bool {
	return f.Lost > 0 || f.Duplicated > 0 || f.WrongPrompt || f.MixedGenerations
}

// checker checks the tokens of one answer in the order of their arrival.
type checker struct {
	// promptHash is the hash of the prompt.
	promptHash string
	// generationHash is the hash of the generation that the first token belongs to.
	generationHash string
	// lastNumber is the highest token number received.
	lastNumber int
	faults     Faults
}

func newChecker(prompt string) *checker { return &checker{promptHash: engine.HashText(prompt)} }

// checkTokens checks a text of one or more tokens in the format of
// engine.TokenText.
func (c *checker) checkTokens(text string) {
	for _, token := range strings.Fields(text) {
		c.checkToken(token)
	}
}

func (c *checker) checkToken(token string) {
	parts := strings.Split(token, ".")
	if len(parts) != 3 || parts[0] != c.promptHash {
		c.faults.WrongPrompt = true
		return
	}
	if c.generationHash == "" {
		c.generationHash = parts[1]
	}
	if parts[1] != c.generationHash {
		c.faults.MixedGenerations = true
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil {
		c.faults.WrongPrompt = true
		return
	}
	c.checkNumber(number)
}

// checkNumber checks that token numbers rise in steps of 1.
func (c *checker) checkNumber(number int) {
	if number <= c.lastNumber {
		c.faults.Duplicated++
		return
	}
	c.faults.Lost += number - c.lastNumber - 1
	c.lastNumber = number
}
