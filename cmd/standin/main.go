// Command standin runs the stand-ins of the platform, each as a process of its
// own: fabric, back end, store, machine list and caller; and for a network with tokens
// metadata store, back end, and clients with their router.
package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/indigobarrow/indigobarrow/internal/standin/backend"
	"github.com/indigobarrow/indigobarrow/internal/standin/caller"
	"github.com/indigobarrow/indigobarrow/internal/standin/fabric"
	"github.com/indigobarrow/indigobarrow/internal/standin/machines"
	"github.com/indigobarrow/indigobarrow/internal/standin/store"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "standin",
		Usage: "stand-ins of the platform, for demonstrations and tests",
		Commands: []*cli.Command{storeCommand(), machinesCommand(), fabricCommand(), backendCommand(), callerCommand(),
			metadataCommand(), tokenBackendCommand(), tokenClientCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage}
}

// serve serves a handler until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", address)
	}
	return nil
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "key-value service",
		Flags: []cli.Flag{
			stringFlag("listen", "127.0.0.1:7000", "HTTP address"),
			intFlag("rate", 500, "requests a second"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command.String("listen"), store.New(float64(command.Int("rate"))).Handler())
		},
	}
}

func machinesCommand() *cli.Command {
	return &cli.Command{
		Name:  "machines",
		Usage: "lagging list of machines",
		Flags: []cli.Flag{
			stringFlag("listen", "127.0.0.1:7001", "HTTP address"),
			durationFlag("lag", 3*time.Second, "how far the list lags"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command.String("listen"), machines.New(command.Duration("lag")).Handler())
		},
	}
}

func fabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "sprays packets over the balancers",
		Flags: []cli.Flag{
			stringFlag("listen", "127.0.0.1:7002", "UDP address"),
			stringFlag("control", "127.0.0.1:7003", "HTTP address; PUT /nodes sets the list"),
			stringFlag("nodes", "", "data addresses of the balancers, separated by commas"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			made, err := fabric.New(command.String("listen"))
			if err != nil {
				return err
			}
			if list := command.String("nodes"); list != "" {
				if err := made.SetNodes(strings.Split(list, ",")); err != nil {
					return err
				}
			}
			go made.Run(ctx)
			return serve(ctx, command.String("control"), made.Handler())
		},
	}
}

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "a back end",
		Flags: []cli.Flag{
			stringFlag("name", "backend-0", "name"),
			stringFlag("service", "lending", "service"),
			stringFlag("address", "10.200.0.1:80", "the service's inner address"),
			stringFlag("tunnel", "127.1.0.1:6080", "UDP address for its packets"),
			stringFlag("control", "127.0.0.1:7100", "HTTP address for reports, counts and faults"),
			intFlag("slots", 2, "requests at a time"),
			intFlag("queue", 64, "requests that may wait"),
			intFlag("connections", 2000, "open connections"),
			durationFlag("work", 2*time.Millisecond, "time of a request"),
			durationFlag("cold", 0, "time for which requests take longer after the start"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			address, err := netip.ParseAddrPort(command.String("address"))
			if err != nil {
				return errors.Wrap(err, "address")
			}
			made, err := backend.New(backend.Settings{
				Name:               command.String("name"),
				Service:            command.String("service"),
				Address:            address,
				TunnelAddress:      command.String("tunnel"),
				Slots:              command.Int("slots"),
				QueueLength:        command.Int("queue"),
				MaximumConnections: command.Int("connections"),
				ServiceTime:        command.Duration("work"),
				ColdStartTime:      command.Duration("cold"),
			})
			if err != nil {
				return err
			}
			go func() { _ = serve(ctx, command.String("control"), made.Handler()) }()
			return made.Run(ctx)
		},
	}
}

func callerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "callers of a service",
		Flags: []cli.Flag{
			stringFlag("name", "caller", "name"),
			stringFlag("inner", "10.64.0.1", "inner address, within "+fabric.CallerPrefix),
			stringFlag("fabric", "127.0.0.1:7002", "UDP address of the fabric"),
			stringFlag("service", "lending", "service that must answer"),
			stringFlag("target", "10.200.0.1:80", "the service's inner address"),
			stringFlag("control", "127.0.0.1:7200", "HTTP address for counts"),
			intFlag("connections", 50, "connections held open"),
			intFlag("requests", 20, "requests on a connection"),
			durationFlag("interval", 200*time.Millisecond, "time between requests of a connection"),
			intFlag("once-share", 5, "one in how many requests may not be repeated"),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			inner, err := netip.ParseAddr(command.String("inner"))
			if err != nil {
				return errors.Wrap(err, "inner")
			}
			target, err := netip.ParseAddrPort(command.String("target"))
			if err != nil {
				return errors.Wrap(err, "target")
			}
			made, err := caller.New(caller.Settings{
				Name: command.String("name"), InnerAddress: inner, FabricAddress: command.String("fabric"),
				Service: command.String("service"), Target: target,
				Connections: command.Int("connections"), Requests: command.Int("requests"),
				Interval: command.Duration("interval"), NonRetryableEvery: command.Int("once-share"),
			})
			if err != nil {
				return err
			}
			go func() { _ = serve(ctx, command.String("control"), made.Handler()) }()
			made.Run(ctx)
			<-ctx.Done()
			return nil
		},
	}
}
