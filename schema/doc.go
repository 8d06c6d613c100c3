// Package schema holds the one schema file of operators' calls and of the
// messages between hosts, its generated code, and the conversions to the
// domain types of the root package.
package schema
