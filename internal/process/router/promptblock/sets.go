package promptblock

import "slices"

// Change is a change of the blocked parts.
type Change struct {
	Blocked, Cleared []string
	// Crashes is the number of crashes that are known.
	Crashes int
}

func intersection(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(p string) bool { return !slices.Contains(b, p) })
}

func difference(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(p string) bool { return slices.Contains(b, p) })
}

func union(a, b []string) []string { return append(slices.Clone(a), difference(b, a)...) }
