package rule

import "math/bits"

// The logarithm is computed with integers only, so that it is the same on every
// processor. Two nodes whose floating-point logarithms differed in the last bit
// would send the same flow to different back ends.
const (
	fractionBits = 32
	tableBits    = 10
	tableSize    = 1 << tableBits
)

// logarithmTable holds log2(1 + i/tableSize) with fractionBits fraction bits.
var logarithmTable = makeLogarithmTable()

func makeLogarithmTable() [tableSize + 1]uint64 {
	var table [tableSize + 1]uint64
	for index := range table {
		table[index] = integerLogarithm(uint64(index))
	}
	return table
}

// integerLogarithm computes log2(1 + index/tableSize) by repeated squaring.
func integerLogarithm(index uint64) uint64 {
	const one = uint64(1) << 31
	value := one + index<<(31-tableBits)
	if value >= 2*one {
		return 1 << fractionBits
	}
	var result uint64
	for bit := fractionBits - 1; bit >= 0; bit-- {
		value = value * value >> 31
		if value >= 2*one {
			value >>= 1
			result |= 1 << bit
		}
	}
	return result
}

// negativeLogarithm returns -log2(hash / 2^64) with fractionBits fraction bits;
// a hash of 0 counts as 1. The result is positive and below 2^39.
func negativeLogarithm(hash uint64) uint64 {
	if hash == 0 {
		hash = 1
	}
	zeros := bits.LeadingZeros64(hash)
	mantissa := hash << zeros << 1
	index := mantissa >> (64 - tableBits)
	rest := mantissa << tableBits >> 32
	low := logarithmTable[index]
	step := logarithmTable[index+1] - low
	fraction := low + step*rest>>32
	return uint64(zeros+1)<<fractionBits - fraction
}
