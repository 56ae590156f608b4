package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/indigobarrow/indigobarrow/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the main job in one process on loopback",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return demo.Run(ctx, os.Stdout)
		},
	}
}
