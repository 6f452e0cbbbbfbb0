// Package stepcurve learns how the step time of an engine grows with its batch
// size and how long its first tokens take.
//
// Samples are kept in bins by batch size, the median of each bin's recent
// samples is a point, and a line is fitted through the points by the median of
// the pairwise slopes (Theil and Sen), so that single slow steps don't move it.
// The largest batch for the bound is read from the line plus the usual
// deviation, and never goes far beyond the largest batch that was seen.
//
// An upstream has turned cold when several samples in a row are out of line
// with the history at equal load. Such samples are kept out of the history
// until the matter is decided.
package stepcurve
