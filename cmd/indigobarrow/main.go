// Command indigobarrow is a layer-4 load balancer and its operators' tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admin"
	"github.com/indigobarrow/indigobarrow/internal/certificate"
	"github.com/indigobarrow/indigobarrow/internal/change"
	"github.com/indigobarrow/indigobarrow/internal/settings"
)

// The exit codes, as documented in docs/operators/commands.md.
const (
	exitFailure  = 1
	exitInvalid  = 2
	exitConflict = 3
	exitTimeout  = 4
)

// errNotInForce is returned when status --wait runs out of time.
var errNotInForce = errors.New("the configuration is not in force everywhere")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "indigobarrow:", err)
		os.Exit(exitCode(err))
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:                  "indigobarrow",
		Usage:                 "layer-4 load balancer",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			nodeCommand(), demoCommand(), configCommand(),
			serviceCommand(), policyCommand(), drainCommand(true), drainCommand(false),
			tokenCommand(), statusCommand(), explainCommand(), labCommand(),
		},
	}
}

func exitCode(err error) int {
	var faults settings.Faults
	var problem *change.Problem
	switch {
	case errors.Is(err, errNotInForce):
		return exitTimeout
	case errors.As(err, &faults):
		return exitInvalid
	case errors.As(err, &problem) && problem.GetCode() == change.CodeConflict:
		return exitConflict
	case errors.As(err, &problem):
		return exitInvalid
	}
	return exitFailure
}

// clientFlags are the flags of every command that speaks to a node.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "node", Value: "127.0.0.1:6070", Usage: "admin address of any node of the group",
			Sources: cli.EnvVars("INDIGOBARROW_NODE")},
		&cli.StringFlag{Name: "token", Usage: "bearer token", Sources: cli.EnvVars("INDIGOBARROW_TOKEN")},
		&cli.StringFlag{Name: "authority", Usage: "PEM file of authorities; speaks TLS", Sources: cli.EnvVars("INDIGOBARROW_AUTHORITY")},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"},
	}, more...)
}

// changeFlags are the flags of every command that changes the configuration.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return clientFlags(append([]cli.Flag{
		&cli.Uint64Flag{Name: "base-revision", Usage: "revision the change is based on; 0 takes the newest"},
		&cli.StringFlag{Name: "operation-id", Usage: "ID of the operation; repeat it when you retry"},
	}, more...)...)
}

func nodeClient(command *cli.Command) (*admin.Client, error) {
	return newClient(command, command.String("node"))
}

// newClient makes a client for one of the group's nodes.
func newClient(command *cli.Command, address string) (*admin.Client, error) {
	file := command.String("authority")
	if file == "" {
		return admin.NewClient(address, command.String("token")), nil
	}
	authorities, err := certificate.LoadAuthorities(file)
	if err != nil {
		return nil, err
	}
	return admin.NewSecureClient(address, command.String("token"), authorities), nil
}

// groupClients makes clients for the node and its live peers, the node first.
func groupClients(ctx context.Context, command *cli.Command) ([]*admin.Client, error) {
	first, err := nodeClient(command)
	if err != nil {
		return nil, err
	}
	status, err := first.Status(ctx)
	if err != nil {
		return nil, err
	}
	clients := []*admin.Client{first}
	for _, peer := range status.GetPeers() {
		if !peer.GetAlive() || peer.GetAdminAddress() == "" {
			continue
		}
		other, err := newClient(command, peer.GetAdminAddress())
		if err != nil {
			return nil, err
		}
		clients = append(clients, other)
	}
	return clients, nil
}

// readConfiguration reads the configuration from the node.
func readConfiguration(ctx context.Context, command *cli.Command) (*apiv1.Configuration, error) {
	asked, err := nodeClient(command)
	if err != nil {
		return nil, err
	}
	return asked.Configuration(ctx)
}

func asJSON(command *cli.Command) bool { return command.String("output") == "json" }
