// Command balancer runs a load balancer on a network whose packets carry flow tokens,
// connected to the platform by package platform.
//
// It also manages the policy programs in the store, checks settings files, and
// explains from saved logs what happened to a request; "balancer --help" lists the
// commands.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/asynclog"
	"github.com/indigobarrow/indigobarrow/internal/balancer"
	"github.com/indigobarrow/indigobarrow/internal/logging"
	"github.com/indigobarrow/indigobarrow/internal/settings"
	"github.com/indigobarrow/indigobarrow/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "balancer:", err)
		os.Exit(1)
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "balancer",
		Usage: "run a balancer that binds flows by tokens",

		EnableShellCompletion: true,

		Commands: []*cli.Command{policyCommand(), checkCommand(), explainCommand()},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Sources: cli.EnvVars("INDIGOBARROW_CONFIG")},
			&cli.StringFlag{Name: "peer-listen", Usage: "`IP:PORT` to listen at for other balancers, if not peer_address itself"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return errors.Newf("there is no command %q; see --help", command.Args().First())
			}
			return run(ctx, command.String("settings"), command.String("peer-listen"))
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings FILE without starting",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return errors.New("check takes one FILE; see --help")
			}
			loaded, err := settings.LoadBalancer(command.Args().First(), nil)
			if err != nil {
				return err
			}
			fmt.Printf("settings are good: balancer %s, zone %s\n", loaded.GetName(), loaded.GetZone())
			return nil
		},
	}
}

// run serves until SIGTERM, which is a planned stop: the balancer reports that it is
// not ready, forwards packets until the routers no longer send it any, and ends.
// SIGHUP reloads the settings.
func run(ctx context.Context, path, peerListen string) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	load := func() (*apiv1.BalancerSettings, error) { return settings.LoadBalancer(path, nil) }
	loaded, err := load()
	if err != nil {
		return err
	}
	lines := asynclog.New(os.Stdout)
	defer lines.Close(logCloseTimeout)
	logger, level := logging.New(lines, logging.Options{
		Level: loaded.GetLogLevel(), Format: loaded.GetLogFormat(), Node: loaded.GetName(),
	})
	dependencies := newDependencies(loaded, logger)
	dependencies.PeerListenAddress = peerListen
	instance, err := balancer.New(loaded, dependencies, logger)
	if err != nil {
		return err
	}
	stopping, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		<-ctx.Done()
		instance.Stop(stopping)
		cancel()
	}()
	group, running := errgroup.WithContext(stopping)
	group.Go(func() error { return instance.Run(running) })
	group.Go(func() error {
		return instance.Reload(running, balancer.Reloader{Path: path, Load: load, Level: level, Signals: reload})
	})
	return group.Wait()
}

// newDependencies returns the parts of the balancer that depend on the platform.
func newDependencies(loaded *apiv1.BalancerSettings, logger *slog.Logger) balancer.Dependencies {
	clientPort := netip.MustParseAddrPort(loaded.GetDataAddress()).Port()
	entryErrors := &entryLogger{logger: logger}
	return balancer.Dependencies{
		Codec:               platform.Codec{ClientPort: clientPort},
		Store:               platform.NewStore(loaded.GetStoreAddress(), entryErrors.warn),
		NewReadinessHandler: platform.ReadinessHandler,
	}
}

// logCloseTimeout is how long the balancer waits for its last log lines to be written.
const logCloseTimeout = time.Second
