// Package operatorfiles reads all operators' files below a directory and reports
// every fault in them at once. It checks each file against the schema, and the
// content of all files for consistency. The check and collect commands use it.
package operatorfiles
