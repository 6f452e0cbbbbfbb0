// Package routetable holds one version of the routes, services, client accounts
// and limits that a gateway serves.
package routetable
