// Package reportlimit limits the rate at which a sidecar reports its load to
// each gateway, so that control traffic does not grow with the number of
// streams. At most one report per Interval is due to a gateway, on whichever of
// its streams comes first.
package reportlimit
