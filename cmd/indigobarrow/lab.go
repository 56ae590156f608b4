package main

import "github.com/urfave/cli/v3"

func labCommand() *cli.Command      { return &cli.Command{Name: "lab"} }
func capacityCommand() *cli.Command { return &cli.Command{Name: "capacity"} }
