// Package adoption decides whether a process puts a published bundle into force.
package adoption
