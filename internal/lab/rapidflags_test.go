package lab

import (
	"flag"
	"strconv"
)

// setRapidFlag sets one of rapid's flags, so that the verdict of CI does not depend
// on which cases rapid generates.
func setRapidFlag(name string, value int) error {
	return flag.Set("rapid."+name, strconv.Itoa(value))
}
