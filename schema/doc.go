// Package schema defines the messages of the calls between hosts and between
// operators and hosts. It consists of the protobuf file, the code generated from
// it, and conversions between messages and the domain types of the root package.
// It sends and receives nothing: package connection/peer does. The configuration
// log in the platform's store consists of its messages too (package changelog).
//
// Hosts' clocks differ, so messages between hosts contain a time as its difference
// from the time of sending. Receivers apply the difference to the time of arrival
// and thereby neglect the time in transit. A time that only identifies or describes
// something, such as an endpoint's start time, is sent as Unix nanoseconds.
package schema
