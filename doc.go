// Package vetchtrail holds the domain types of a multi-region inference
// gateway and the interfaces of what varies in it. It imports nothing of the
// module; the packages below request/, connection/, version/ and process/
// implement what is declared here, grouped by how long their state lives.
package vetchtrail
