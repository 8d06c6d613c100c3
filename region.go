package vetchtrail

import "math/bits"

// MaxRegions is how many regions a RegionSet can contain.
const MaxRegions = 64

// RegionID is the index of a region in the configuration. Operators must not give the index
// of a removed region to another one: only an index in use is rejected, and hosts with an
// older configuration still take it for the removed region.
type RegionID uint8

// Region is a part of the world with data centres of its own. Its links to other regions are
// slow and may fail.
type Region struct {
	ID          RegionID
	Name        string
	DataCentres []string
}

// RegionSet is a set of regions with one bit for each.
type RegionSet uint64

// AllRegions contains every possible region.
const AllRegions = ^RegionSet(0)

// RegionsOf returns the set of the given regions.
func RegionsOf(ids ...RegionID) RegionSet {
	var s RegionSet
	for _, id := range ids {
		s |= 1 << id
	}
	return s
}

// Has returns whether the set contains the region.
func (s RegionSet) Has(id RegionID) bool { return s&(1<<id) != 0 }

// Len returns the number of regions in the set.
func (s RegionSet) Len() int { return bits.OnesCount64(uint64(s)) }
