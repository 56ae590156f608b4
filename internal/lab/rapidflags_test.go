package lab

import (
	"flag"
	"strconv"
)

// setRapidFlag sets one of rapid's flags, so that every run in CI has the same
// result.
func setRapidFlag(name string, value int) error {
	return flag.Set("rapid."+name, strconv.Itoa(value))
}
