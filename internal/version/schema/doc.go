// Package schema holds the JSON schema of the operators' files. It checks a file
// against the schema, adds the defaults of omitted fields, and generates the
// reference page of the configuration. A test requires that the fields and
// defaults in the schema equal those in the code.
package schema
