// Package vetchtrail holds the types that all other packages share: requests, responses,
// decisions, the configuration, and the state of hosts and endpoints. It also declares the
// interfaces between those packages, such as Policy, Dialect, Store and Feed.
//
// The package does no I/O, keeps no state and imports no other package of the module. Its
// functions only parse, format, hash and compare the values that it declares. The
// implementations are grouped by how long their state lives: request/ for one request,
// connection/ for a connection, version/ for a revision of the configuration, and process/
// for the lifetime of the process.
package vetchtrail
