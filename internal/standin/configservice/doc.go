// Package configservice is a stand-in for the platform's configuration service,
// after the key-value interface of Consul with blocking queries.
package configservice
