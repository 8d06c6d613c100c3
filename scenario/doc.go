// Package scenario tests the promises of the system under failure, with the real programs as
// separate processes on loopback addresses. Scripts in testdata/*.txtar play one failure step by
// step, in a small test language whose commands are defined here. Tests of histories let callers,
// operators and faults run concurrently and check the recorded history against a model. The
// package has tests only; tests of a single component are in the component's own package.
package scenario
