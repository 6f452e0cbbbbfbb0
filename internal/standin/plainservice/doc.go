// Package plainservice is a stand-in for an order-handling service that counts
// how often it runs each request.
package plainservice
