// Package instance defines an upstream instance as it is described by an entry
// of the instance list. Packages that read the list, track membership or send
// requests share the type.
package instance
