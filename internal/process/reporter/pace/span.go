package pace

import "time"

// span is a time in which a run produced events and no prompt delayed it. Its
// samples are the reports in which the number of events had increased.
type span struct {
	// events is the number of events in the latest report.
	events int
	// generation is the number of the latest report that lists the run.
	generation uint64
	// samples holds count entries, the earliest first.
	samples [maxSamples]sample
	count   int
}

type sample struct {
	at     time.Time
	events int
}

// restart discards the samples.
func (s *span) restart(events int) { s.events, s.count = events, 0 }

// observe adds the number of events in the report of now. It returns the mean time
// between the events of the span, and false if there is no new one or the span is
// too short.
func (s *span) observe(events int, now time.Time) (length time.Duration, ok bool) {
	added := events - s.events
	switch {
	case added == 0:
		return 0, false
	case added < 0 || added > maxEventsPerReport:
		s.restart(events)
		return 0, false
	}
	s.events = events
	s.add(sample{at: now, events: events})
	first := s.samples[0]
	elapsed, made := now.Sub(first.at), events-first.events
	if made < minSpanEvents || elapsed < minSpan {
		return 0, false
	}
	return elapsed / time.Duration(made), true
}

// add adds a sample and drops the earliest ones without which the span still
// covers maxSpan and minSpanEvents.
func (s *span) add(latest sample) {
	dropped := 0
	for dropped+1 < s.count && s.coversWithout(dropped+1, latest) {
		dropped++
	}
	if dropped == 0 && s.count == maxSamples {
		dropped = 1
	}
	copy(s.samples[:], s.samples[dropped:s.count])
	s.count -= dropped
	s.samples[s.count] = latest
	s.count++
}

// coversWithout reports whether the span up to the latest sample is long enough
// without the first n samples.
func (s *span) coversWithout(n int, latest sample) bool {
	first := s.samples[n]
	return latest.at.Sub(first.at) >= maxSpan && latest.events-first.events >= minSpanEvents
}
