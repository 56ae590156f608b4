package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"

	"github.com/indigobarrow/indigobarrow/internal/lab"
)

func labCommand() *cli.Command {
	return &cli.Command{
		Name:  "lab",
		Usage: "the emulator: experiments in virtual time",
		Commands: []*cli.Command{{
			Name:  "run",
			Usage: "run scenarios and print one row each",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "scenario", Usage: "names separated by commas; empty runs all"},
				&cli.StringFlag{Name: "user", Value: "both", Usage: "dar, kayal or both"},
				&cli.StringFlag{Name: "algorithm", Value: "epochs", Usage: "epochs, modulo, rendezvous, table or all"},
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
				&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds"},
				&cli.Float64Flag{Name: "scale", Value: 1, Usage: "share of the flows"},
				&cli.IntFlag{Name: "parallel", Value: 4, Usage: "runs at a time"},
				&cli.StringFlag{Name: "lines", Usage: "file for the results as JSON lines"},
				&cli.StringFlag{Name: "report", Usage: "file for an HTML report with plots"},
			},
			Action: runLab,
		}, {
			Name:  "trust",
			Usage: "measure what load trust does to imbalance",
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed"},
				&cli.Float64Flag{Name: "scale", Value: 0.3, Usage: "share of the flows"},
			},
			Action: runTrust,
		}},
	}
}

func runTrust(_ context.Context, command *cli.Command) error {
	rows, err := lab.RunLoadTrust(command.Uint64("seed"), command.Float64("scale"))
	if err != nil {
		return err
	}
	printed := newTable("REPORTS", "TRUST", "CV", "MAX/MEAN", "WEIGHT CHANGES", "B/S MEAN", "BROKEN")
	for _, row := range rows {
		printed.addRow(row.Reports, fmt.Sprintf("%.1f", row.Trust), fmt.Sprintf("%.3f", row.Variation), fmt.Sprintf("%.3f", row.MaximumOverMean),
			fmt.Sprint(row.WeightChanges), fmt.Sprintf("%.0f", row.ControlMean), fmt.Sprint(row.Broken))
	}
	return printed.flush()
}

var errGuaranteeViolated = errors.New("a planned change broke flows, or a promise did not hold")

func runLab(_ context.Context, command *cli.Command) error {
	plans, err := labPlans(command)
	if err != nil {
		return err
	}
	rows := make([]lab.Row, len(plans))
	bar := progressbar.NewOptions(len(plans), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("runs"))
	slots := make(chan struct{}, max(1, command.Int("parallel")))
	var group sync.WaitGroup
	for index, plan := range plans {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			rows[index] = plan.Run()
			_ = bar.Add(1)
			<-slots
		}()
	}
	group.Wait()
	fmt.Fprintln(os.Stderr)
	if err := printRows(rows); err != nil {
		return err
	}
	if path := command.String("lines"); path != "" {
		if err := writeLines(path, rows); err != nil {
			return err
		}
	}
	if path := command.String("report"); path != "" {
		if err := lab.WriteReport(path, rows); err != nil {
			return err
		}
	}
	return checkRows(rows)
}

func labPlans(command *cli.Command) ([]lab.Plan, error) {
	algorithms := []lab.Algorithm{lab.Algorithm(command.String("algorithm"))}
	if algorithms[0] == "all" {
		algorithms = []lab.Algorithm{lab.AlgorithmModulo, lab.AlgorithmRendezvous, lab.AlgorithmTable, lab.AlgorithmEpochs}
	}
	users := map[string][]string{"dar": {"dar"}, "kayal": {"kayal"}, "both": {"dar", "kayal"}}[command.String("user")]
	if users == nil {
		return nil, errors.Newf("user = %q: is not known; use dar, kayal or both", command.String("user"))
	}
	scenarios, err := selectScenarios(command.String("scenario"))
	if err != nil {
		return nil, err
	}
	var plans []lab.Plan
	for _, scenario := range scenarios {
		for _, user := range users {
			for _, algorithm := range algorithms {
				for seed := range command.Int("seeds") {
					plans = append(plans, lab.Plan{Scenario: scenario, User: user, Algorithm: algorithm,
						Seed: command.Uint64("seed") + uint64(seed), Scale: command.Float64("scale")})
				}
			}
		}
	}
	return plans, nil
}

func selectScenarios(names string) ([]lab.Scenario, error) {
	all := lab.Scenarios()
	if names == "" {
		return all, nil
	}
	var chosen []lab.Scenario
	for _, name := range strings.Split(names, ",") {
		found := false
		for _, scenario := range all {
			if scenario.Name == name {
				chosen = append(chosen, scenario)
				found = true
			}
		}
		if !found {
			known := make([]string, 0, len(all))
			for _, scenario := range all {
				known = append(known, scenario.Name)
			}
			return nil, errors.Newf("scenario = %q: is not known; use one of %s", name, strings.Join(known, ", "))
		}
	}
	return chosen, nil
}

func printRows(rows []lab.Row) error {
	printed := newTable("SCENARIO", "USER", "METHOD", "SEED", "FLOWS", "BROKEN", "CAUSES", "2ND", "REFUSED", "MAX/MEAN", "CV",
		"LEAVING P99", "IN FORCE P99", "B/S MEAN", "B/S 10S", "B/S 1S", "VIOLATION")
	for _, row := range rows {
		causes := make([]string, 0, len(row.Broken))
		for cause, count := range row.Broken {
			causes = append(causes, fmt.Sprintf("%s %d", cause, count))
		}
		sort.Strings(causes)
		printed.addRow(row.Scenario, row.User, string(row.Algorithm), fmt.Sprint(row.Seed), fmt.Sprint(row.Flows),
			fmt.Sprint(row.TotalBroken), strings.Join(causes, " "), fmt.Sprint(row.SecondBackend), fmt.Sprint(row.Refused),
			fmt.Sprintf("%.3f", row.MaximumOverMean), fmt.Sprintf("%.3f", row.Variation),
			row.LeavingP99.Round(time.Millisecond).String(), row.InForceP99.Round(time.Millisecond).String(),
			fmt.Sprintf("%.0f", row.ControlMean), fmt.Sprintf("%.0f", row.ControlPeak), fmt.Sprintf("%.0f", row.ControlSecond), row.Violation)
	}
	return printed.flush()
}

func writeLines(path string, rows []lab.Row) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "lines")
	}
	encoder := json.NewEncoder(file)
	for _, row := range rows {
		if err := encoder.Encode(row); err != nil {
			return errors.Wrap(err, "lines")
		}
	}
	return errors.Wrap(file.Close(), "lines")
}

func checkRows(rows []lab.Row) error {
	for _, row := range rows {
		if row.Algorithm != lab.AlgorithmEpochs {
			continue
		}
		if row.Violation != "" || row.Planned && row.TotalBroken > 0 {
			return errors.Wrapf(errGuaranteeViolated, "scenario %s, user %s, seed %d", row.Scenario, row.User, row.Seed)
		}
	}
	return nil
}
