// Package consistency checks a configuration as a whole: that names, keys,
// models, hosts and path prefixes are unique, that referenced data centres
// exist, and that values are within their ranges. The check command reports the
// findings with their suggestions, and adoption refuses a bundle that has any.
package consistency
