// Package hostsettings defines the settings that a router or reporter process
// receives from the instance on which it runs, and validates them. The platform
// fills them in; packages router and reporter use them.
package hostsettings
