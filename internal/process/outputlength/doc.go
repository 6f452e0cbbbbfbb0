// Package outputlength estimates how many more tokens a generation will have,
// given the tokens it already has.
//
// It keeps survival counts by client account and model over buckets of length,
// four for each doubling. A generation that was cut short counts as having
// survived up to that point. The chance to end within a bucket is taken from
// the account's counts where they are many, else from the model's, else from a
// prior with long outputs.
package outputlength
