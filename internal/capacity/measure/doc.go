// Package measure measures how memory, processor time and messages of the
// system's parts grow with the size of a deployment, within one process.
package measure
