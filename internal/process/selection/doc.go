// Package selection chooses the upstream for a request. It answers the load of
// requests of very different sizes that many routers place at the same time
// with old views: the choice is the best of a few drawn at random, so that
// routers with equal views do not all choose the same upstream.
package selection
