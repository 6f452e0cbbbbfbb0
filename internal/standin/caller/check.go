package caller

import (
	"strconv"
	"strings"

	"github.com/flamingohold/flamingohold/internal/standin/engine"
)

// Faults are the errors found in one answer.
type Faults struct {
	// Lost and Doubled count tokens.
	Lost, Doubled int
	// Crossed is true if a token belongs to another prompt.
	Crossed bool
	// Mixed is true if the tokens come from more than one generation.
	Mixed bool
}

// Any reports whether there was an error.
func (f Faults) Any() bool { return f.Lost > 0 || f.Doubled > 0 || f.Crossed || f.Mixed }

// checker follows the tokens of one answer.
type checker struct {
	prompt string
	// generation is the tag of the first token's generation.
	generation string
	// last is the number of the last token.
	last   int
	faults Faults
}

func newChecker(prompt string) *checker { return &checker{prompt: engine.Tag(prompt)} }

// observe checks one or more tokens in the form of engine.TokenText.
func (c *checker) observe(text string) {
	for _, token := range strings.Fields(text) {
		c.observeToken(token)
	}
}

func (c *checker) observeToken(token string) {
	parts := strings.Split(token, ".")
	if len(parts) != 3 || parts[0] != c.prompt {
		c.faults.Crossed = true
		return
	}
	if c.generation == "" {
		c.generation = parts[1]
	}
	if parts[1] != c.generation {
		c.faults.Mixed = true
	}
	number, err := strconv.Atoi(parts[2])
	if err != nil {
		c.faults.Crossed = true
		return
	}
	c.observeNumber(number)
}

func (c *checker) observeNumber(number int) {
	if number <= c.last {
		c.faults.Doubled++
		return
	}
	c.faults.Lost += number - c.last - 1
	c.last = number
}
