// Command standin-2 plays the scripted cases of the second independent review. It starts the
// balancers as separate processes with the command of the deploy file, and plays everything
// around them itself: the metadata store, the routers, the back ends and the clients. The
// stand-ins follow the users' pages on packets and flows.
//
// Usage: standin-2 CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sort"
	"syscall"
	"time"
)

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

// leastAnswered is how many requests must have been answered for a case to count as played.
const leastAnswered = 1000

// exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays one case and returns whether the rule held.
type caseFunc func(ctx context.Context, site *site, trouble bool) (held bool, err error)

var cases = map[string]caseFunc{
	"returned-flows":  playReturnedFlows,
	"old-pool":        playOldPool,
	"leaving-backend": playLeavingBackend,
}

func main() {
	// Balancers are told when the thread that started them ends, so it must be one that stays.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER; cases:", names)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, disruption: %v", os.Args[1], trouble)
	site, err := newSite(ctx, record)
	if err != nil {
		record.line("could not run: %v", err)
		return exitNotRun
	}
	defer site.stop()
	held, err := cases[os.Args[1]](ctx, site, trouble)
	switch {
	case err != nil || ctx.Err() != nil:
		record.line("could not run: %v %v", err, ctx.Err())
		return exitNotRun
	case site.answered.Load() < leastAnswered:
		record.line("could not run: only %d requests were answered", site.answered.Load())
		return exitNotRun
	case !held:
		record.line("result: the rule was broken")
		return exitBroken
	}
	record.line("result: the rule held")
	return exitHeld
}
