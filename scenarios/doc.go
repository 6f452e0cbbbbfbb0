// Package scenarios holds scripted failure scenarios. Each file in testdata
// starts gateways, sidecars and stand-ins as separate processes, causes
// failures and compares whole sessions with golden text.
package scenarios
