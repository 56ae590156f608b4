package main

import (
	"context"
	"fmt"
	"math"
	"sort"
	"strconv"

	"github.com/urfave/cli/v3"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/change"
	"github.com/indigobarrow/indigobarrow/internal/policy"
)

func policyCommand() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "policy programs",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the policies", Flags: clientFlags(), Action: listPolicies},
			{Name: "default", Usage: "show the default policy", Action: func(context.Context, *cli.Command) error {
				return printJSON(policy.Default())
			}},
			{Name: "get", Usage: "show a policy", ArgsUsage: "NAME", Flags: clientFlags(), Action: getPolicy},
			{Name: "diff", Usage: "compare a policy file with the policy in force", ArgsUsage: "FILE", Flags: clientFlags(), Action: diffPolicy},
			{Name: "check", Usage: "check a policy file without applying it", ArgsUsage: "FILE",
				Flags:  clientFlags(&cli.StringFlag{Name: "against", Usage: "\"live\" shows what it would change now"}),
				Action: checkPolicy},
			{Name: "rollback", Usage: "put the replaced version of a policy back, as a new revision", ArgsUsage: "NAME", Flags: changeFlags(),
				Action: func(ctx context.Context, command *cli.Command) error {
					name, err := argument(command, 0, "NAME")
					if err != nil {
						return err
					}
					return applyChange(ctx, command, &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_RollbackPolicy{RollbackPolicy: name}})
				}},
			{Name: "apply", Usage: "create or replace a policy from a JSON file", ArgsUsage: "FILE", Flags: changeFlags(),
				Action: func(ctx context.Context, command *cli.Command) error {
					wanted, err := readPolicy(command)
					if err != nil {
						return err
					}
					return applyChange(ctx, command, &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutPolicy{PutPolicy: wanted}})
				}},
		},
	}
}

func readPolicy(command *cli.Command) (*apiv1.Policy, error) {
	path, err := argument(command, 0, "FILE")
	if err != nil {
		return nil, err
	}
	wanted := &apiv1.Policy{}
	return wanted, readFile(path, wanted)
}

// evaluateSamples checks a policy and shows what it says of the samples.
func evaluateSamples(wanted *apiv1.Policy) error {
	if err := policy.Check(wanted); err != nil {
		return change.NewProblem(change.CodeInvalid, "policy", wanted.GetName(), err.Error(), "mend the expression")
	}
	program, err := policy.Compile(wanted)
	if err != nil {
		return err
	}
	names := []string{"well", "loaded", "cold", "sick", "silent"}
	rows := newTable("SAMPLE", "WEIGHT", "LEAVING", "LOAD TRUST")
	for index, sample := range policy.Samples() {
		outcome, err := program.Evaluate(sample)
		if err != nil {
			return err
		}
		rows.addRow(names[index], fmt.Sprintf("%.2f", outcome.Weight), strconv.FormatBool(outcome.Leaving),
			fmt.Sprintf("%.2f", outcome.LoadTrust))
	}
	return rows.flush()
}

func listPolicies(ctx context.Context, command *cli.Command) error {
	configuration, err := readConfiguration(ctx, command)
	if err != nil {
		return err
	}
	if asJSON(command) {
		return printJSON(configuration)
	}
	policies := configuration.GetPolicies()
	sort.Slice(policies, func(i, j int) bool { return policies[i].GetName() < policies[j].GetName() })
	rows := newTable("POLICY", "WEIGHT", "LEAVING", "LOAD TRUST")
	for _, known := range append([]*apiv1.Policy{policy.Default()}, policies...) {
		rows.addRow(known.GetName(), known.GetWeight(), known.GetLeaving(), known.GetLoadTrust())
	}
	return rows.flush()
}

// policyInForce reads a policy by name; the default one needs no entry.
func policyInForce(ctx context.Context, command *cli.Command, name string) (*apiv1.Policy, error) {
	configuration, err := readConfiguration(ctx, command)
	if err != nil {
		return nil, err
	}
	if found := change.FindPolicy(configuration, name); found != nil {
		return found, nil
	}
	if name == policy.Default().GetName() {
		return policy.Default(), nil
	}
	return nil, change.NewProblem(change.CodeNotFound, "policy", name, "there is no such policy",
		"list them with \"indigobarrow policy list\"")
}

func getPolicy(ctx context.Context, command *cli.Command) error {
	name, err := argument(command, 0, "NAME")
	if err != nil {
		return err
	}
	found, err := policyInForce(ctx, command, name)
	if err != nil {
		return err
	}
	return printJSON(found)
}

func diffPolicy(ctx context.Context, command *cli.Command) error {
	wanted, err := readPolicy(command)
	if err != nil {
		return err
	}
	old, err := policyInForce(ctx, command, wanted.GetName())
	if err != nil {
		return err
	}
	rows := newTable("FIELD", "IN FORCE", "FILE")
	for _, field := range []struct{ name, old, wanted string }{
		{"weight", old.GetWeight(), wanted.GetWeight()},
		{"leaving", old.GetLeaving(), wanted.GetLeaving()},
		{"load_trust", old.GetLoadTrust(), wanted.GetLoadTrust()},
	} {
		if field.old != field.wanted {
			rows.addRow(field.name, field.old, field.wanted)
		}
	}
	return rows.flush()
}

func checkPolicy(ctx context.Context, command *cli.Command) error {
	wanted, err := readPolicy(command)
	if err != nil {
		return err
	}
	switch against := command.String("against"); against {
	case "":
		return evaluateSamples(wanted)
	case "live":
		return compareLive(ctx, command, wanted)
	default:
		return change.NewProblem(change.CodeInvalid, "against", against, "is not known", "use live, or leave it out")
	}
}

// compareLive shows what a policy would change now, for the services that use it.
func compareLive(ctx context.Context, command *cli.Command, wanted *apiv1.Policy) error {
	program, err := policy.Compile(wanted)
	if err != nil {
		return change.NewProblem(change.CodeInvalid, "policy", wanted.GetName(), err.Error(), "mend the expression")
	}
	report, err := readFacts(ctx, command)
	if err != nil {
		return err
	}
	rows := newTable("SERVICE", "BACK END", "WEIGHT NOW", "WEIGHT THEN", "LEAVING", "LOAD TRUST")
	for _, known := range report.GetBackends() {
		if known.GetPolicy() != wanted.GetName() && (known.GetPolicy() != "" || wanted.GetName() != policy.Default().GetName()) {
			continue
		}
		outcome, err := program.Evaluate(policy.Facts{
			Name: known.GetBackend(), Zone: known.GetZone(), MachineState: known.GetMachineState(), Healthy: known.GetHealthy(),
			BadSeconds: known.GetBadSeconds(), Load: known.GetLoad(), MeanLoad: known.GetMeanLoad(),
			ReportAge: known.GetReportAge(), UpSeconds: known.GetUpSeconds()})
		if err != nil {
			return err
		}
		rows.addRow(known.GetService(), known.GetBackend(), strconv.Itoa(int(known.GetWeight())),
			strconv.Itoa(int(math.Round(outcome.Weight*10))*10), strconv.FormatBool(outcome.Leaving), fmt.Sprintf("%.2f", outcome.LoadTrust))
	}
	return rows.flush()
}

// readFacts finds the node that reads the reports.
func readFacts(ctx context.Context, command *cli.Command) (*apiv1.FactsReport, error) {
	clients, err := groupClients(ctx, command)
	if err != nil {
		return nil, err
	}
	for _, asked := range clients {
		report, err := asked.Facts(ctx)
		if err == nil && len(report.GetBackends()) > 0 {
			return report, nil
		}
	}
	return nil, change.NewProblem(change.CodeUnavailable, "", "", "no node has reports of back ends",
		"give the back ends a report_address, or wait a few seconds")
}
