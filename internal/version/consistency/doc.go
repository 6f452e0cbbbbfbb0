// Package consistency checks the parts of a configuration against each other.
package consistency
