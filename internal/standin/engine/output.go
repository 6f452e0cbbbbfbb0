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

// bytesPerToken is a rule of thumb for English text.
const bytesPerToken = 4

// TokenText returns the text of the token with the number, counted from 1, in
// the output for the prompt. It names prompt, request and number, so that a
// caller can tell lost, doubled and foreign tokens.
func TokenText(requestID, prompt string, number int) string {
	return " " + Tag(prompt) + "." + Tag(requestID) + "." + strconv.Itoa(number)
}

// Tag returns the eight hex digits that stand for a text in TokenText.
func Tag(text string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(text)))
}

// Output returns the text of the first n tokens.
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

// lengthMark is the part of a prompt with which a test or a load tool sets the
// output length without telling the system in between.
var lengthMark = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

// LengthMark returns the text that sets the output length of a prompt.
func LengthMark(tokens int) string { return fmt.Sprintf("[tokens=%d]", tokens) }

// OutputLength returns the length in tokens of the output for the prompt if the
// request sets no max_tokens. It is the prompt's length mark or else log-normal,
// and depends only on the prompt.
func OutputLength(prompt string) int {
	if mark := lengthMark.FindStringSubmatch(prompt); mark != nil {
		n, _ := strconv.Atoi(mark[1])
		return max(1, n)
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(prompt), 0))
	mu := math.Log(meanOutputTokens) - outputSigma*outputSigma/2
	return max(1, int(math.Exp(mu+outputSigma*random.NormFloat64())))
}
