// Package tokenlog buffers the tokens of one generation in a bounded log. The
// engine's side appends numbered tokens; readers fetch them by position and
// acknowledge them. A caller that reconnects therefore loses no token and
// receives none twice. Only tokens that a reader has read or skipped are dropped;
// while none can be dropped, a full log accepts no further token.
package tokenlog
