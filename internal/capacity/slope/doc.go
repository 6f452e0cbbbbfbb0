// Package slope fits a straight line through measured points by least squares. The
// capacity packages use the slope as the cost for each unit of size, such as the
// bytes for each client account, and the residual to show how linear the growth is.
package slope
