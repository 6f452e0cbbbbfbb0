package mirror

const (
	// minLargeBytes is the size from which a value is sent as a difference or in
	// compressed form.
	minLargeBytes = 4 << 10
	// maxSteps bounds the steps that are kept of one value.
	maxSteps = 64
	// maxStepsShare is the largest size of all kept steps of a value, as a share of
	// the value's size.
	maxStepsShare = 0.25
)

// lineage holds how a large value can be sent to other routers.
type lineage struct {
	// steps lead to the current version. The base of each step is the revision of
	// the one before.
	steps []Step
	// compressed is the current version in compressed form, nil until it is needed.
	compressed []byte
}

// from returns the steps that lead from the version to the current one, nil if
// they are not held.
func (l *lineage) from(revision int64) []Step {
	for i, s := range l.steps {
		if s.Base == revision {
			return l.steps[i:len(l.steps):len(l.steps)]
		}
	}
	return nil
}

// extend returns the lineage of the version to which the steps lead, whose value
// has the size in bytes.
func (l *lineage) extend(steps []Step, size int) *lineage {
	var kept []Step
	if n := len(l.steps); n > 0 && l.steps[n-1].Revision == steps[0].Base {
		kept = append(kept, l.steps...)
	}
	kept = append(kept, steps...)
	total := 0
	for i := len(kept) - 1; i >= 0; i-- {
		total += len(kept[i].Difference)
		if len(kept)-i > maxSteps || float64(total) > maxStepsShare*float64(size) {
			kept = kept[i+1:]
			break
		}
	}
	return &lineage{steps: kept}
}
