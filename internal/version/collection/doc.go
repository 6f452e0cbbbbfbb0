// Package collection gathers the operators' files of a directory and checks
// them alone and against each other.
package collection
