package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/indigobarrow/indigobarrow/internal/flowtrace"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from saved logs what happened to a request, a flow or a client",
		ArgsUsage: "REQUEST-ID|FLOW|CLIENT-ADDRESS LOG...",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() < 2 {
				return errors.New("explain takes a request id, a flow or a client's address, and at least one log file; see --help")
			}
			return explain(command.Args().First(), command.Args().Tail())
		},
	}
}

// explain prints the log lines about a request, a flow or a client, in the order of
// their times.
func explain(subject string, files []string) error {
	var lines []flowtrace.Line
	for _, file := range files {
		input, err := os.Open(file)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		fileLines, err := flowtrace.Read(input)
		_ = input.Close()
		if err != nil {
			return errors.Wrapf(err, "log %s", file)
		}
		lines = append(lines, fileLines...)
	}
	found := flowtrace.Find(lines, subject)
	if len(found) == 0 {
		return errors.Newf("%q occurs in none of %d lines; it reached no balancer whose log was given, or its lines were left out", subject, len(lines))
	}
	if err := flowtrace.Write(os.Stdout, found); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "balancer: %d of %d lines\n", len(found), len(lines))
	return nil
}
