// Package route describes how requests of one path are served.
package route
