package query

import "math"

// roundingError is the largest error of a sum of shares. It is far below the share of any shard.
const roundingError = 1e-9

// coverageOfSum converts a sum of shares to a coverage: 1 exactly if everything is covered, and less than 1
// otherwise, whatever the rounding of the shares.
func coverageOfSum(sum float64, complete bool) float64 {
	if complete {
		return 1
	}
	return min(max(sum, 0), math.Nextafter(1, 0))
}

// reaches reports whether a coverage is at least the required one. Only complete data reaches 1, and an answer
// without any data reaches nothing.
func reaches(coverage, required float64) bool {
	if coverage <= 0 {
		return false
	}
	if required >= 1 {
		return coverage >= 1
	}
	return coverage+roundingError >= required
}

// clampCoverage limits the coverage that a reply states to the range from 0 to 1. NaN counts as 0.
func clampCoverage(c float64) float64 {
	if math.IsNaN(c) {
		return 0
	}
	return min(max(c, 0), 1)
}
