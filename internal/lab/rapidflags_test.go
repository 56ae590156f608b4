package lab

import (
	"flag"
	"strconv"
)

// setRapidFlag sets one of rapid's flags, so that CI gives the same verdict every
// run.
func setRapidFlag(name string, value int) error {
	return flag.Set("rapid."+name, strconv.Itoa(value))
}
