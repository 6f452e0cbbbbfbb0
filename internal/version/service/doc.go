// Package service describes a service as operators configure it in a short file
// beside the service's code.
package service
