// Package outputlength estimates how many more tokens a generation will
// produce, given the number of tokens that it has already produced. Package
// admission reserves block memory by these estimates.
//
// It counts, by client account and model, how many outputs reach and end in
// each bucket of lengths, with four buckets for each doubling. A truncated
// output counts as having reached the buckets up to that point. The probability
// of ending within a bucket follows the account's counts if they are large,
// else the model's counts, else a prior with long outputs.
package outputlength
