package promptblock

// watcher is a request at an engine that has not survived the beginning of its
// answer.
type watcher struct {
	parts  []string
	cancel func()
}

// Watch calls cancel, with the list's lock held, if the parts become blocked so
// that a request with them is refused, until the returned function is called.
func (l *List) Watch(parts []string, cancel func()) (stop func()) {
	w := &watcher{parts: parts, cancel: cancel}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers[w] = struct{}{}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watchers, w)
	}
}

// cancelWatched cancels the watched requests whose blocked parts suffice for a
// crash.
func (l *List) cancelWatched() {
	for w := range l.watchers {
		blocked := intersection(w.parts, l.blocked)
		if len(blocked) == 0 {
			continue
		}
		if _, count := l.sufficient(blocked); count > 0 {
			delete(l.watchers, w)
			w.cancel()
		}
	}
}
