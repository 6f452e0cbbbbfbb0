// Package admission decides how much work the upstream beside a sidecar may hold.
package admission
