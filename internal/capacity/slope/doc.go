// Package slope fits a line through measured points.
package slope
