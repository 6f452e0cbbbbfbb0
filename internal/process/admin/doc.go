// Package admin serves health, readiness, drain, metrics and profiles to operators.
package admin
