package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admin"
)

const statusPollInterval = 100 * time.Millisecond

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "how a node sees its group",
		Flags: clientFlags(
			&cli.BoolFlag{Name: "wait", Usage: "wait until the accepted revision is in force on every live node"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "how long to wait"}),
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, command *cli.Command) error {
	deadline := time.Now().Add(command.Duration("timeout"))
	asked, err := nodeClient(command)
	if err != nil {
		return err
	}
	for {
		status, err := asked.Status(ctx)
		if err != nil {
			return err
		}
		missing := admin.NotInForce(status)
		if command.Bool("wait") && len(missing) > 0 && time.Now().Before(deadline) {
			time.Sleep(statusPollInterval)
			continue
		}
		if err := printStatus(command, status); err != nil {
			return err
		}
		if command.Bool("wait") && len(missing) > 0 {
			return errors.Wrapf(errNotInForce, "revision %d is missing on %s", status.GetAcceptedRevision(), strings.Join(missing, ", "))
		}
		return nil
	}
}

func printStatus(command *cli.Command, status *apiv1.NodeStatus) error {
	if asJSON(command) {
		return printJSON(status)
	}
	fmt.Printf("node %s, zone %s, group %s, contact %s, store reachable %t\n",
		status.GetId(), status.GetZone(), status.GetGroup(), status.GetContact(), status.GetStoreReachable())
	fmt.Printf("revision %d accepted, %d in force; epoch %d settled, %d pending (%s); document %d\n",
		status.GetAcceptedRevision(), status.GetInForceRevision(), status.GetSettledNumber(),
		status.GetPendingNumber(), status.GetPhase(), status.GetDocumentVersion())
	fmt.Printf("%d flows, %d kept records\n", status.GetFlows(), status.GetKeptRecords())
	if waiting := status.GetWaitingFor(); len(waiting) > 0 {
		fmt.Printf("waiting for %s\n", strings.Join(waiting, ", "))
	}
	for _, mark := range status.GetMarks() {
		fmt.Printf("back end #%d is leaving: %s (set by %s)\n", mark.GetBackend(), mark.GetReason(), mark.GetSetBy())
	}
	rows := newTable("PEER", "ZONE", "ALIVE", "IN FORCE", "ADMIN")
	for _, peer := range status.GetPeers() {
		rows.addRow(peer.GetId(), peer.GetZone(), strconv.FormatBool(peer.GetAlive()),
			strconv.FormatUint(peer.GetInForceRevision(), 10), peer.GetAdminAddress())
	}
	return rows.flush()
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "why a flow went where it went", ArgsUsage: "SOURCE:PORT-DESTINATION:PORT",
		Flags:  clientFlags(&cli.BoolFlag{Name: "recent", Usage: "list the flows of the node's newest decisions instead"}),
		Action: explainFlow,
	}
}

// explainFlow asks the node and all its live peers.
func explainFlow(ctx context.Context, command *cli.Command) error {
	if command.Bool("recent") {
		return listRecentFlows(ctx, command)
	}
	flow, err := argument(command, 0, "FLOW")
	if err != nil {
		return err
	}
	clients, err := groupClients(ctx, command)
	if err != nil {
		return err
	}
	for _, asked := range clients {
		explanation, err := asked.Explain(ctx, flow)
		if err != nil {
			return err
		}
		if asJSON(command) {
			if err := printJSON(explanation); err != nil {
				return err
			}
			continue
		}
		printExplanation(explanation)
	}
	return nil
}

func listRecentFlows(ctx context.Context, command *cli.Command) error {
	asked, err := nodeClient(command)
	if err != nil {
		return err
	}
	recent, err := asked.RecentFlows(ctx)
	if err != nil {
		return err
	}
	if asJSON(command) {
		return printJSON(recent)
	}
	fmt.Println(strings.Join(recent.GetFlows(), "\n"))
	return nil
}

func printExplanation(explanation *apiv1.Explanation) {
	fmt.Printf("node %s: %d decisions; %s\n", explanation.GetNode(), len(explanation.GetDecisions()),
		strings.TrimPrefix(explanation.GetNote(), "; "))
	for _, decision := range explanation.GetDecisions() {
		at := time.UnixMilli(decision.GetUnixMilliseconds()).UTC().Format(time.RFC3339Nano)
		fmt.Printf("  %s service %s -> %s by path %q, epoch %d settled, %d pending (%s), revision %d, policy %q\n",
			at, decision.GetService(), decision.GetBackend(), decision.GetPath(), decision.GetSettledNumber(),
			decision.GetPendingNumber(), decision.GetPhase(), decision.GetConfigurationRevision(), decision.GetPolicy())
		fmt.Printf("    %s\n", decision.GetReason())
		for _, candidate := range decision.GetCandidates() {
			fmt.Printf("    %-14s weight %4d  score %9d  %s\n", candidate.GetBackend(), candidate.GetWeight(),
				candidate.GetScore(), candidate.GetVerdict())
		}
	}
}
