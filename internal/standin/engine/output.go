package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the approximate mean for English text.
const bytesPerToken = 4

// TokenText returns the text of one token of the output; number counts from 1.
// The text holds the hashes of prompt and request ID and the number, so that a
// caller can detect lost and duplicate tokens and tokens of other generations.
func TokenText(requestID, prompt string, number int) string {
	return " " + HashText(prompt) + "." + HashText(requestID) + "." + strconv.Itoa(number)
}

// HashText returns the hash of a text that TokenText uses, as eight hex digits.
func HashText(text string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(text)))
}

// Output returns the text of the first n tokens of the output.
func Output(requestID, prompt string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(TokenText(requestID, prompt, i))
	}
	return b.String()
}

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// lengthMark matches the part of a prompt by which a test or load generator sets
// the output length. A request field would reveal the length to the gateways and
// sidecars in between.
var lengthMark = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

// LengthMark returns the text that, as part of a prompt, sets the output length
// in tokens.
func LengthMark(tokens int) string { return fmt.Sprintf("[tokens=%d]", tokens) }

// OutputLength returns the output length in tokens for a request that sets no
// max_tokens. It is the value of the prompt's length mark if there is one, or else
// a sample of a log-normal distribution, with a seed that depends only on the
// prompt.
func OutputLength(prompt string) int {
	if mark := lengthMark.FindStringSubmatch(prompt); mark != nil {
		n, _ := strconv.Atoi(mark[1])
		return max(1, n)
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(prompt), 0))
	mu := math.Log(meanOutputTokens) - outputSigma*outputSigma/2
	return max(1, int(math.Exp(mu+outputSigma*random.NormFloat64())))
}
