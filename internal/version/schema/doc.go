// Package schema holds the JSON schema of the operators' files. It checks a file
// against the schema, adds the defaults of omitted fields, and generates the
// reference page of the configuration. The schema is the only definition of the
// files' fields and defaults.
package schema
