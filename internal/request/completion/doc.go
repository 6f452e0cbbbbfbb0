// Package completion joins the chunks of a streamed generation into the one
// response object of the OpenAI interface.
package completion
