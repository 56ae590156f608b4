package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// These are the exit statuses of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotPlayed
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		os.Exit(exitNotPlayed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns its exit status.
func play(name, directory string) int {
	cases := map[string]func(*world) (bool, error){
		"reset-after-cut": playResetAfterCut,
		"second-answer":   playSecondAnswer,
		"one-reader":      playOneReader,
	}
	played, found := cases[name]
	if !found {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		return exitNotPlayed
	}
	w, err := newWorld(directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer w.close()
	go endEarly(w)
	broken, err := played(w)
	switch {
	case err != nil:
		w.note("not played: %v", err)
		fmt.Println("not played:", err)
		return exitNotPlayed
	case broken:
		w.note("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.note("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// limit is the longest time that a case may take.
const limit = 116 * time.Second

// endEarly ends the case when it is interrupted or takes too long.
func endEarly(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	w.close()
	os.Exit(exitNotPlayed)
}
