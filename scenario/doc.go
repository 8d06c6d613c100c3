// Package scenario proves the promises of the system under failure: scripts in
// a small test language (testdata/*.txtar) and histories of concurrent runs,
// both with the real programs as separate processes.
package scenario
