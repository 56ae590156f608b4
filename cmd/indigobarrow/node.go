package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/logging"
	"github.com/indigobarrow/indigobarrow/internal/node"
	"github.com/indigobarrow/indigobarrow/internal/settings"
)

// settingsFlags let every field of the settings file be set on the command
// line, with dashes for underscores.
var settingsFlags = map[string]string{
	"id":                "id",
	"group":             "group",
	"zone":              "zone",
	"data-address":      "data_address",
	"peer-address":      "peer_address",
	"admin-address":     "admin_address",
	"store-address":     "store_address",
	"machines-address":  "machines_address",
	"seeds":             "seeds",
	"log-level":         "log_level",
	"log-format":        "log_format",
	"flow-capacity":     "flow_capacity",
	"flow-idle-seconds": "flow_idle_seconds",
}

func nodeFlags() []cli.Flag {
	flags := []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings file"}}
	for _, flag := range slices.Sorted(maps.Keys(settingsFlags)) {
		flags = append(flags, &cli.StringFlag{Name: flag, Usage: "sets " + settingsFlags[flag] + " over the file"})
	}
	return flags
}

func loadSettings(command *cli.Command) (*apiv1.NodeSettings, error) {
	overrides := make(map[string]string)
	for flag, field := range settingsFlags {
		if command.IsSet(flag) {
			overrides[field] = command.String(flag)
		}
	}
	return settings.Load(command.String("settings"), overrides)
}

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run a balancer",
		Flags: append(nodeFlags(), &cli.DurationFlag{Name: "stop-limit", Value: 20 * time.Second,
			Usage: "how long a planned stop may take to hand over"}),
		Action: runNode,
	}
}

// runNode serves until SIGTERM, which is a planned stop: the node announces
// it, hands over its flows and ends. A second SIGTERM ends it at once.
func runNode(ctx context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return errors.Newf("node takes no argument %q; give the settings file with --settings", command.Args().First())
	}
	loaded, err := loadSettings(command)
	if err != nil {
		return err
	}
	logger, level := logging.New(os.Stderr, logging.Options{
		Level: loaded.GetLogLevel(), Format: loaded.GetLogFormat(), Node: loaded.GetId(),
	})
	made, err := node.New(loaded, logger, level)
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		<-ctx.Done()
		limit, done := context.WithTimeout(running, command.Duration("stop-limit"))
		defer done()
		made.Stop(limit)
		cancel()
	}()
	return made.Run(running)
}

// applySettingsArgument takes the settings file from the arguments, where one is
// given there, and refuses any other argument.
func applySettingsArgument(command *cli.Command) error {
	switch arguments := command.Args(); {
	case arguments.Len() == 0:
		return nil
	case arguments.Len() > 1:
		return errors.Newf("config check takes one FILE, not %d arguments; see --help", arguments.Len())
	case command.IsSet("settings"):
		return errors.Newf("FILE %q and --settings %q name two files; give one of them",
			arguments.First(), command.String("settings"))
	default:
		return command.Set("settings", arguments.First())
	}
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "settings of a node",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a settings FILE, or the one of --settings, without starting",
			ArgsUsage: "[FILE]",
			Flags:     nodeFlags(),
			Action: func(_ context.Context, command *cli.Command) error {
				if err := applySettingsArgument(command); err != nil {
					return err
				}
				loaded, err := loadSettings(command)
				if err != nil {
					return errors.Wrapf(err, "settings %s", command.String("settings"))
				}
				fmt.Printf("settings are good: node %s, group %s, zone %s\n", loaded.GetId(), loaded.GetGroup(), loaded.GetZone())
				return nil
			},
		}},
	}
}
