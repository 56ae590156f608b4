// Command losses tells where a day of the users' bench loses worth, and how much
// of that could not have been won by any balancer.
//
// # Usage
//
//	fleetbench run SITE DAY --report day.json
//	go run ./internal/tools/losses SITE day-name=day.json ...
//
// It prints a row of a Markdown table for each report. Worth is the part of the
// credit owed. While all machines are dark after the final fault, nothing can be
// answered: what clients send then is answered late at best, since they repeat a
// first packet after 200 and 600 ms and a request after 200, 600 and 1400 ms, and
// a late answer has the class's credit for late ones. That is the unavoidable
// part, with the prices for machines; what the windows of the final fault lose
// beyond it, and what all other windows lose, is the avoidable one.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// report is what is used of a report of the bench.
type report struct {
	Worth   float64 `json:"G"`
	Served  float64 `json:"served"`
	All     outcome `json:"all"`
	Windows []outcome
	Prices  [][3]any
	Events  []event
}

// outcome counts requests.
type outcome struct {
	Name    string
	Number  int `json:"n"`
	InAim   int `json:"in_aim"`
	Worth   float64
	NotOwed int `json:"not_owed"`
}

type event struct {
	At   float64 `json:"at_s"`
	Kind string
}

// site is what is used of a site file.
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

// windowSeconds is the length of a window of a report.
const windowSeconds = 2

// restartSeconds is how long machines that were dark take until they answer: the
// restart that the bench leaves to them and the start of the program.
const restartSeconds = 0.12

// finalFaultSeconds is how long after the final fault its windows go on.
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
	var read site
	if _, err := toml.DecodeFile(arguments[0], &read); err != nil {
		return errors.Wrapf(err, "site file %s", arguments[0])
	}
	fmt.Println("| day | worth | lost in all | dark, unavoidable | final fault, beyond | other windows | machines | other prices |")
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
		printRow(read, day, parsed)
	}
	return nil
}

// printRow prints where a day lost worth. All figures are parts of the credit owed
// over the whole day.
func printRow(read site, day string, parsed report) {
	closingAt, closed := finalFault(parsed)
	owed := float64(parsed.All.Number - parsed.All.NotOwed)
	final, other := 0.0, 0.0
	rate := 0.0
	for index, window := range parsed.Windows {
		lost := (1 - window.Worth) * float64(window.Number-window.NotOwed) / owed
		from := float64(index * windowSeconds)
		if closed && from+windowSeconds > closingAt && from < closingAt+finalFaultSeconds {
			final += lost
			rate = max(rate, float64(window.Number)/windowSeconds)
			continue
		}
		other += lost
	}
	dark := 0.0
	if closed {
		dark = min(final, rate*(downtime(read, day)+restartSeconds)*(1-lateWorthRatio(read))/owed)
	}
	machines, prices := sumPrices(parsed)
	fmt.Printf("| %s | %.3f | %.3f | %.4f | %.4f | %.4f | %.4f | %.4f |\n", day, parsed.Worth, 1-parsed.Worth,
		dark, final-dark, other, machines, prices)
}

// finalFault returns when the final fault came, if there was one.
func finalFault(parsed report) (at float64, found bool) {
	for _, each := range parsed.Events {
		if strings.HasPrefix(each.Kind, "closing") {
			return each.At, true
		}
	}
	return 0, false
}

// downtime is how long all machines are dark after the final fault of a day, in
// seconds.
func downtime(read site, day string) float64 {
	for _, each := range read.Days {
		if each.Name == day {
			return each.Closing.Down
		}
	}
	return 0
}

// lateWorthRatio is the credit of a late answer over that of one in time, the mean of
// the classes.
func lateWorthRatio(read site) float64 {
	late, worth := 0.0, 0.0
	for _, class := range read.Classes {
		late += class.LateWorth
		worth += class.Worth
	}
	if worth == 0 {
		return 0
	}
	return late / worth
}

// sumPrices returns the price of the machines and the sum of the others.
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
