package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/indigobarrow/indigobarrow/internal/capacity"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:   "capacity",
		Usage:  "what each role costs at the sizes of today and of two years, from measured slopes",
		Action: func(context.Context, *cli.Command) error { return showCapacity() },
		Commands: []*cli.Command{{
			Name:  "measure",
			Usage: "measure the slopes anew (minutes) and write them to a file",
			Flags: []cli.Flag{
				&cli.IntFlag{Name: "groups", Value: 1000, Usage: "groups of 12 hollow nodes in the largest run; 0 keeps the last run's figures"},
				&cli.DurationFlag{Name: "length", Value: 40 * time.Second, Usage: "virtual time of the largest run, above 30 s"},
				&cli.StringFlag{Name: "out", Value: "internal/capacity/slopes.json", Usage: "file"},
			},
			Action: func(_ context.Context, command *cli.Command) error {
				slopes := capacity.Measure(os.Stderr, command.Int("groups"), command.Duration("length"))
				if last, err := capacity.Measured(); err == nil && command.Int("groups") == 0 {
					slopes.Hollow = last.Hollow
				}
				encoded, err := json.MarshalIndent(slopes, "", "  ")
				if err != nil {
					return errors.Wrap(err, "slopes")
				}
				return errors.Wrap(os.WriteFile(command.String("out"), append(encoded, '\n'), 0o644), "slopes")
			},
		}},
	}
}

func showCapacity() error {
	slopes, err := capacity.Measured()
	if err != nil {
		return err
	}
	two := capacity.Work(slopes, capacity.TwoYears(), capacity.TwoYearLimits())
	today := capacity.Work(slopes, capacity.Today(), capacity.TodayLimits())
	if err := capacity.Print(os.Stdout, "Size of two years:", two); err != nil {
		return err
	}
	fmt.Println()
	if err := capacity.Print(os.Stdout, "Size of today:", today); err != nil {
		return err
	}
	for _, row := range append(two, today...) {
		if !row.Holds() {
			return errors.Newf("%s, %s: %.1f %s is above the limit of %.1f", row.Role, row.Quantity, row.Value, row.Unit, row.Limit)
		}
	}
	return nil
}
