// Package sharedrate divides a rate among routers that do not ask each other before
// each request. Package router uses it for the rate of cold upstreams.
package sharedrate
