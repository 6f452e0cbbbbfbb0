// Package adoption decides whether a process puts a published bundle into
// force. A bundle is adopted only if it is newer than the running
// configuration, complete, undamaged and consistent. The decision depends on
// nothing else, so processes that read the same bundles end with the same
// configuration. Package configwatch uses it.
package adoption
