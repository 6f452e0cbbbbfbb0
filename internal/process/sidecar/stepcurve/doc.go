// Package stepcurve learns how the step time of an engine grows with its batch
// size, and how long its first tokens take. Package admission derives the
// largest batch from it and detects engines that became cold.
//
// Samples are kept in bins by batch size. The median of each bin's recent
// samples is a point, and a line is fitted through the points by the median of
// the pairwise slopes (Theil-Sen estimator), so that single slow steps don't
// move it. The largest batch for the target is derived from the line plus the
// 90th percentile of the deviations above it. It never exceeds the largest
// observed batch by more than a quarter plus 1.
//
// An upstream has become cold when several consecutive samples are far above
// earlier samples at equal load. Such outliers are not added to the samples.
package stepcurve
