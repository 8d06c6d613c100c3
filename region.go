package vetchtrail

import "math/bits"

// MaxRegions is how many regions a RegionSet can hold.
const MaxRegions = 64

// RegionID is the index of a region in the configuration. An index is never
// given to another region while the configuration log lives.
type RegionID uint8

// Region is a part of the world with data centres of its own, set apart from
// other regions by slow links that may be cut.
type Region struct {
	ID          RegionID
	Name        string
	DataCentres []string
}

// RegionSet is a set of regions, one bit each.
type RegionSet uint64

// AllRegions holds every region there can be.
const AllRegions = ^RegionSet(0)

// RegionsOf returns the set of the given regions.
func RegionsOf(ids ...RegionID) RegionSet {
	var s RegionSet
	for _, id := range ids {
		s |= 1 << id
	}
	return s
}

// Has reports whether the set holds the region.
func (s RegionSet) Has(id RegionID) bool { return s&(1<<id) != 0 }

// Len returns the number of regions in the set.
func (s RegionSet) Len() int { return bits.OnesCount64(uint64(s)) }
