// Package scenario tests the promises of the system (docs/PROOFS.md) under failure, with the real
// programs as separate processes on loopback addresses. Each script in testdata/*.txtar reproduces
// one failure step by step, with commands that are defined here. The history tests run callers,
// operators and faults concurrently, and check the recorded history against a model. The package
// contains tests only; tests of a single component are in the component's own package.
package scenario
