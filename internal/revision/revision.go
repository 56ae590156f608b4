// Package revision orders what the store reports across its eras.
//
// The store numbers its changes. When it is restored from a backup, its number goes back
// and numbers are assigned again, in a new era. Whatever is ordered by revisions,
// stored with them or sent under them uses joined revisions, in which the era precedes the
// number: everything of a later era is later, and the numbers of two eras are never
// confused.
//
// # Usage
//
//	joined, err := revision.Join(era, number) // where the store's answer is read
//	if revision.EraOf(joined) > revision.EraOf(known) {
//		// what the backup lacks has to be written again
//	}
//
// Zero means no revision. A store that reports no era is always in era 0.
package revision

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Era is the number of times the store has been restored from a backup, as the store
// counts it.
type Era uint64

const (
	// numberBits is the width of the store's own number. It suffices for 166 years at
	// 3,300 changes a second.
	numberBits = 44
	eraBits    = 64 - numberBits
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<eraBits - 1
)

// Join returns the joined revision of a number that the store assigned in an era.
func Join(era Era, number uint64) (uint64, error) {
	if era > maxEra {
		return 0, errors.Newf("era %d is above %d", era, uint64(maxEra))
	}
	if number > maxNumber {
		return 0, errors.Newf("revision %d is above %d", number, uint64(maxNumber))
	}
	return uint64(era)<<numberBits | number, nil
}

// EraOf returns the era of a joined revision.
func EraOf(joined uint64) Era { return Era(joined >> numberBits) }

// NumberOf returns the number that the store itself assigned to a joined revision.
func NumberOf(joined uint64) uint64 { return joined & maxNumber }

// Format returns a joined revision as shown to operators: the number alone in era 0, and
// "era:number" in later eras.
func Format(joined uint64) string {
	number := strconv.FormatUint(NumberOf(joined), 10)
	if EraOf(joined) == 0 {
		return number
	}
	return strconv.FormatUint(uint64(EraOf(joined)), 10) + ":" + number
}
