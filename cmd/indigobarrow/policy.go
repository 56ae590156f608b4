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
					newPolicy, err := readPolicy(command)
					if err != nil {
						return err
					}
					return applyChange(ctx, command, &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutPolicy{PutPolicy: newPolicy}})
				}},
		},
	}
}

// readPolicy reads the policy in the file that the first argument names.
func readPolicy(command *cli.Command) (*apiv1.Policy, error) {
	path, err := argument(command, 0, "FILE")
	if err != nil {
		return nil, err
	}
	newPolicy := &apiv1.Policy{}
	return newPolicy, readFile(path, newPolicy)
}

// evaluateSamples checks a policy and prints its results for the sample back ends.
func evaluateSamples(newPolicy *apiv1.Policy) error {
	if err := policy.Check(newPolicy); err != nil {
		return change.NewProblem(change.CodeInvalid, "policy", newPolicy.GetName(), err.Error(), "correct the expression")
	}
	program, err := policy.Compile(newPolicy)
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
	for _, listed := range append([]*apiv1.Policy{policy.Default()}, policies...) {
		rows.addRow(listed.GetName(), listed.GetWeight(), listed.GetLeaving(), listed.GetLoadTrust())
	}
	return rows.flush()
}

// policyInForce returns the configured policy of a name. The default policy needs no
// entry in the configuration.
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

// diffPolicy prints the expressions that differ between a policy file and the policy in
// force.
func diffPolicy(ctx context.Context, command *cli.Command) error {
	newPolicy, err := readPolicy(command)
	if err != nil {
		return err
	}
	old, err := policyInForce(ctx, command, newPolicy.GetName())
	if err != nil {
		return err
	}
	rows := newTable("FIELD", "IN FORCE", "FILE")
	for _, field := range []struct{ name, old, wanted string }{
		{"weight", old.GetWeight(), newPolicy.GetWeight()},
		{"leaving", old.GetLeaving(), newPolicy.GetLeaving()},
		{"load_trust", old.GetLoadTrust(), newPolicy.GetLoadTrust()},
	} {
		if field.old != field.wanted {
			rows.addRow(field.name, field.old, field.wanted)
		}
	}
	return rows.flush()
}

// checkPolicy checks a policy file, and with --against live also compares it with the
// current weights.
func checkPolicy(ctx context.Context, command *cli.Command) error {
	newPolicy, err := readPolicy(command)
	if err != nil {
		return err
	}
	switch against := command.String("against"); against {
	case "":
		return evaluateSamples(newPolicy)
	case "live":
		return compareLive(ctx, command, newPolicy)
	default:
		return change.NewProblem(change.CodeInvalid, "against", against, "is not known", "use live, or leave it out")
	}
}

// compareLive prints the weights that the back ends have now and those that a policy
// would give them, for the services that use the policy.
func compareLive(ctx context.Context, command *cli.Command, newPolicy *apiv1.Policy) error {
	program, err := policy.Compile(newPolicy)
	if err != nil {
		return change.NewProblem(change.CodeInvalid, "policy", newPolicy.GetName(), err.Error(), "correct the expression")
	}
	report, err := readFacts(ctx, command)
	if err != nil {
		return err
	}
	rows := newTable("SERVICE", "BACK END", "WEIGHT NOW", "WEIGHT THEN", "LEAVING", "LOAD TRUST")
	for _, backend := range report.GetBackends() {
		if backend.GetPolicy() != newPolicy.GetName() && (backend.GetPolicy() != "" || newPolicy.GetName() != policy.Default().GetName()) {
			continue
		}
		outcome, err := program.Evaluate(policy.Facts{
			Name: backend.GetBackend(), Zone: backend.GetZone(), MachineState: backend.GetMachineState(), Healthy: backend.GetHealthy(),
			BadSeconds: backend.GetBadSeconds(), Load: backend.GetLoad(), MeanLoad: backend.GetMeanLoad(),
			ReportAge: backend.GetReportAge(), UpSeconds: backend.GetUpSeconds()})
		if err != nil {
			return err
		}
		rows.addRow(backend.GetService(), backend.GetBackend(), strconv.Itoa(int(backend.GetWeight())),
			strconv.Itoa(int(math.Round(outcome.Weight*10))*10), strconv.FormatBool(outcome.Leaving), fmt.Sprintf("%.2f", outcome.LoadTrust))
	}
	return rows.flush()
}

// readFacts reads the data on the back ends from the first node of the group that has
// any, which is the one that polls their reports.
func readFacts(ctx context.Context, command *cli.Command) (*apiv1.FactsReport, error) {
	clients, err := groupClients(ctx, command)
	if err != nil {
		return nil, err
	}
	for _, client := range clients {
		report, err := client.Facts(ctx)
		if err == nil && len(report.GetBackends()) > 0 {
			return report, nil
		}
	}
	return nil, change.NewProblem(change.CodeUnavailable, "", "", "no node has reports of back ends",
		"give the back ends a report_address, or wait a few seconds")
}
