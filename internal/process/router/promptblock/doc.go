// Package promptblock finds the parts of prompts that crash engines and blocks
// requests that contain them. Routers record the prompts that had no event yet when
// their engine ended, and share these records. A part that appears in several
// crashes, one after the other, and in no request that got an event since, is
// blocked. A request with blocked parts is still sent if no crash shows that these
// parts alone suffice, so that a sound part which shares prompts with a harmful one
// is cleared by its next request.
package promptblock
