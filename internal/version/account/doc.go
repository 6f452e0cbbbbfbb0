// Package account describes a client account as operators configure it.
package account
