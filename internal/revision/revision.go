// Package revision orders what the store says over its eras. The store counts its
// changes; when it comes back from a copy of itself, its count goes back and the
// numbers are given out again, in another era. Everything that is ordered by
// revisions, kept with them or told under them uses joined ones, in which the era
// comes before the number: whatever is of a later era is later, and the numbers of
// two eras are never taken for each other.
//
// # Usage
//
//	joined, err := revision.Join(era, number) // where the store's answer is read
//	if revision.EraOf(joined) > revision.EraOf(known) {
//		// what the copy lacks has to be written again
//	}
//
// Zero is no revision. A store that tells no era is always in era 0.
package revision

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Era is how often the store came back from a copy, as the store counts it.
type Era uint64

const (
	// numberBits are those of the store's own number: 166 years of 3,300 changes a
	// second.
	numberBits = 44
	eraBits    = 64 - numberBits
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<eraBits - 1
)

// Join returns the revision of a number that the store gave in an era.
func Join(era Era, number uint64) (uint64, error) {
	if era > maxEra {
		return 0, errors.Newf("era %d is above %d", era, uint64(maxEra))
	}
	if number > maxNumber {
		return 0, errors.Newf("revision %d is above %d", number, uint64(maxNumber))
	}
	return uint64(era)<<numberBits | number, nil
}

// EraOf returns the era of a revision.
func EraOf(joined uint64) Era { return Era(joined >> numberBits) }

// NumberOf returns what the store itself calls a revision.
func NumberOf(joined uint64) uint64 { return joined & maxNumber }

// Format returns a revision as operators read it.
func Format(joined uint64) string {
	number := strconv.FormatUint(NumberOf(joined), 10)
	if EraOf(joined) == 0 {
		return number
	}
	return strconv.FormatUint(uint64(EraOf(joined)), 10) + ":" + number
}
