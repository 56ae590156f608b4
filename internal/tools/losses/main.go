// Command losses breaks down the worth that a balancer lost in runs of the users'
// benchmark, and shows how much of it no balancer could have avoided losing.
//
// # Usage
//
//	fleetbench run SITE DAY --report day.json
//	go run ./internal/tools/losses SITE day-name=day.json ...
//
// It prints a row of a Markdown table for each report. Worth is the fraction of the
// owed credit that was earned. While all machines are down after the final fault,
// nothing can be answered: what clients send then is answered late at best, since
// they retransmit a first packet after 200 and 600 ms and a request after 200, 600
// and 1400 ms, and a late answer earns the credit that its class gives for late
// answers. That loss is unavoidable, as are the prices for machines; what the windows
// of the final fault lose beyond it, and what all other windows lose, is avoidable.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// report holds the fields that are read from a report of the benchmark.
type report struct {
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	All     outcome `json:"all"`
	Windows []outcome
	Prices  [][3]any
	Events  []event
}

// outcome holds the counts of the requests of a class, a window or the whole run, and
// the fraction of the credit that they earned.
type outcome struct {
	Name    string
	Number  int `json:"n"`
	InAim   int `json:"in_aim"`
	Worth   float64
	NotOwed int `json:"not_owed"`
}

// event is a fault or another event of a run.
type event struct {
	At   float64 `json:"at_s"`
	Kind string
}

// site holds the fields that are read from a site file.
type site struct {
	Classes []struct {
		LateWorth float64 `toml:"late_worth"`
		Worth     float64
	}
	Days []struct {
		Name    string
		Closing struct {
			Kind string
			Down float64 `toml:"down_s"`
		}
	} `toml:"day"`
}

// windowSeconds is the length of the windows of a report, in seconds.
const windowSeconds = 2

// restartSeconds is how long machines that were down take until they answer: the time
// that the benchmark allows for their restart, and the start of the program.
const restartSeconds = 0.12

// finalFaultSeconds is how long after the final fault a window is still attributed to
// it.
const finalFaultSeconds = 4

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "losses:", err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	if len(arguments) < 2 {
		return errors.New("give the site file and at least one DAY=REPORT")
	}
	var siteFile site
	if _, err := toml.DecodeFile(arguments[0], &siteFile); err != nil {
		return errors.Wrapf(err, "site file %s", arguments[0])
	}
	fmt.Println("| day | worth | lost in total | final fault, unavoidable | final fault, avoidable | other windows | machines | other prices |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, argument := range arguments[1:] {
		day, file, found := strings.Cut(argument, "=")
		if !found {
			return errors.Newf("%q is not DAY=REPORT", argument)
		}
		content, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "report")
		}
		var parsed report
		if err := json.Unmarshal(content, &parsed); err != nil {
			return errors.Wrapf(err, "report %s", file)
		}
		printRow(siteFile, day, parsed)
	}
	return nil
}

// printRow prints where a day lost worth. All figures are fractions of the credit owed
// over the whole day.
func printRow(siteFile site, day string, parsed report) {
	faultAt, faulted := finalFault(parsed)
	owed := float64(parsed.All.Number - parsed.All.NotOwed)
	faultLoss, otherLoss := 0.0, 0.0
	rate := 0.0
	for index, window := range parsed.Windows {
		lost := (1 - window.Worth) * float64(window.Number-window.NotOwed) / owed
		from := float64(index * windowSeconds)
		if faulted && from+windowSeconds > faultAt && from < faultAt+finalFaultSeconds {
			faultLoss += lost
			rate = max(rate, float64(window.Number)/windowSeconds)
			continue
		}
		otherLoss += lost
	}
	unavoidable := 0.0
	if faulted {
		unavoidable = min(faultLoss, rate*(downtime(siteFile, day)+restartSeconds)*(1-lateWorthRatio(siteFile))/owed)
	}
	machines, prices := sumPrices(parsed)
	fmt.Printf("| %s | %.3f | %.3f | %.4f | %.4f | %.4f | %.4f | %.4f |\n", day, parsed.Worth, 1-parsed.Worth,
		unavoidable, faultLoss-unavoidable, otherLoss, machines, prices)
}

// finalFault returns the time of the final fault in seconds, if there was one.
func finalFault(parsed report) (at float64, found bool) {
	for _, each := range parsed.Events {
		if strings.HasPrefix(each.Kind, "closing") {
			return each.At, true
		}
	}
	return 0, false
}

// downtime returns how long all machines are down after the final fault of a day, in
// seconds.
func downtime(siteFile site, day string) float64 {
	for _, each := range siteFile.Days {
		if each.Name == day {
			return each.Closing.Down
		}
	}
	return 0
}

// lateWorthRatio returns the mean credit of a late answer over all classes, divided by
// the mean credit of an answer in time.
func lateWorthRatio(siteFile site) float64 {
	late, worth := 0.0, 0.0
	for _, class := range siteFile.Classes {
		late += class.LateWorth
		worth += class.Worth
	}
	if worth == 0 {
		return 0
	}
	return late / worth
}

// sumPrices returns the price of the machines and the sum of the other prices.
func sumPrices(parsed report) (machines, others float64) {
	for _, price := range parsed.Prices {
		name, _ := price[0].(string)
		value, _ := price[2].(float64)
		if name == "machine-seconds" {
			machines = value
			continue
		}
		others += value
	}
	return machines, others
}
