// Package document writes measured series into a page.
package document
