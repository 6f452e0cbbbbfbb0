package schema

import (
	"fmt"
	"slices"
	"strings"
)

const referenceIntroduction = "# Configuration files\n\n" +
	"Operators keep short files beside each service's code. `flamingohold check` reports every fault in them at once,\n" +
	"`flamingohold collect` makes the bundle that the publishing step puts into the configuration service. Unknown fields\n" +
	"are faults. Omitted fields have the defaults below. Names in our formats are in snake case.\n\n" +
	"This page is written by `UPDATE_DOCS=1 go test ./internal/version/schema`.\n"

// sections lists the definitions in the order of the reference page.
var sections = []string{
	"fleet", "data_centre", "weight_store", "policy", "service", "model", "orders", "queue", "accounts", "account",
}

// Reference returns the reference page of the operators' files.
func (s *Schema) Reference() string {
	var b strings.Builder
	b.WriteString(referenceIntroduction)
	for _, name := range sections {
		s.writeSection(&b, s.definitions[name])
	}
	return b.String()
}

func (s *Schema) writeSection(b *strings.Builder, n *node) {
	level := "###"
	if strings.HasSuffix(n.Title, Suffix) {
		level = "##"
	}
	fmt.Fprintf(b, "\n%s %s\n\n%s\n", level, n.Title, n.Description)
	if n.Items != nil {
		fmt.Fprintf(b, "\nThe file holds %s.\n", s.describeType(n))
		return
	}
	b.WriteString("\n| field | type | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, p := range n.Properties {
		s.writeField(b, p, slices.Contains(n.Required, p.name))
	}
}

func (s *Schema) writeField(b *strings.Builder, p property, required bool) {
	resolved := s.resolve(p.node)
	value := "none"
	switch {
	case required:
		value = "required"
	case resolved.Default != nil:
		value = "`" + strings.Trim(string(resolved.Default), `"`) + "`"
	case resolved.Type == "object":
		value = "defaults of its fields"
	}
	fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", p.name, s.describeType(p.node), value, p.node.Description)
}

func (s *Schema) describeType(n *node) string {
	title := s.resolve(n).Title
	n = s.resolve(n)
	switch {
	case len(n.Enum) > 0:
		return "`" + strings.Join(n.Enum, "`, `") + "`"
	case n.Type == "array":
		return "array of " + s.describeType(n.Items)
	case n.Type == "object":
		return fmt.Sprintf("object ([%s](#%s))", title, anchor(title))
	case title == "Name":
		return "name"
	}
	return n.Type + describeRange(n)
}

func describeRange(n *node) string {
	var parts []string
	if n.ExclusiveMinimum != nil {
		parts = append(parts, "above "+n.ExclusiveMinimum.String())
	}
	if n.Minimum != nil {
		parts = append(parts, "from "+n.Minimum.String())
	}
	if n.Maximum != nil {
		parts = append(parts, "up to "+n.Maximum.String())
	}
	if n.Pattern != "" {
		parts = append(parts, "matching `"+n.Pattern+"`")
	}
	if len(parts) == 0 {
		return ""
	}
	return " " + strings.Join(parts, " ")
}

// anchor returns the fragment of a heading.
func anchor(title string) string {
	return strings.ReplaceAll(strings.ReplaceAll(strings.ToLower(title), ".", ""), " ", "-")
}
