// Package completion joins the chunks of a streamed generation into one response
// object of the OpenAI API, for callers that did not request a stream. It handles
// text completions and chat completions.
package completion
