// Package selection chooses the upstream for a request. Many routers place
// requests of very different sizes at the same time, on views that are slightly
// out of date. Choose therefore scores every upstream by its load and adds a
// random part to each score, so that routers with equal views do not all choose
// the same upstream. Where a route bounds the gap between events, slow upstreams get a
// penalty for long outputs. Packages forwarding and relocation use it.
package selection
