package main

import (
	"context"
	"fmt"
	"os"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/policy"
	"github.com/indigobarrow/indigobarrow/internal/revision"
	"github.com/indigobarrow/indigobarrow/platform"
)

func policyCommand() *cli.Command {
	store := &cli.StringFlag{Name: "store", Usage: "`IP:PORT` of the store", Sources: cli.EnvVars("INDIGOBARROW_STORE")}
	return &cli.Command{
		Name:  "policy",
		Usage: "policy programs in the store; one named after a pool decides for it, \"default\" for the others",
		Commands: []*cli.Command{
			{Name: "list", Usage: "show all policies", Flags: []cli.Flag{store}, Action: withStore(0, listPolicies)},
			{Name: "put", Usage: "check and write the policy in a JSON FILE", ArgsUsage: "FILE", Flags: []cli.Flag{store}, Action: withStore(1, putPolicy)},
			{Name: "remove", Usage: "remove the policy NAME", ArgsUsage: "NAME", Flags: []cli.Flag{store}, Action: withStore(1, removePolicy)},
		},
	}
}

// withStore returns an action that checks the number of arguments and calls action
// with a client of the store and the first argument.
func withStore(argumentCount int, action func(context.Context, *platform.Store, string) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if command.Args().Len() != argumentCount {
			return errors.Newf("%s takes %d arguments, not %d; see --help", command.Name, argumentCount, command.Args().Len())
		}
		if command.String("store") == "" {
			return errors.New("store is not set; give --store IP:PORT or set INDIGOBARROW_STORE")
		}
		warn := func(err error) { fmt.Fprintln(os.Stderr, "balancer:", err) }
		return action(ctx, platform.NewStore(command.String("store"), warn), command.Args().First())
	}
}

// listPolicies prints the policies in the store in the order of their names.
func listPolicies(ctx context.Context, store *platform.Store, _ string) error {
	policies, err := store.Policies(ctx)
	if err != nil {
		return err
	}
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		entry := policies[name]
		fmt.Printf("%s (revision %s)\n  weight: %s\n  leaving: %s\n", name, revision.Format(entry.Revision), entry.Policy.GetWeight(), entry.Policy.GetLeaving())
	}
	return nil
}

// putPolicy checks the policy in a file and writes it if the stored one has not changed
// meanwhile.
func putPolicy(ctx context.Context, store *platform.Store, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "policy")
	}
	newPolicy := &apiv1.Policy{}
	if err := protojson.Unmarshal(content, newPolicy); err != nil {
		return errors.Wrapf(err, "policy %s: write it as JSON with name, weight, leaving and load_trust", file)
	}
	if newPolicy.GetName() == "" {
		return errors.Newf("policy %s: name is empty; set it to a pool's name or to \"default\"", file)
	}
	if err := policy.Check(newPolicy); err != nil {
		return err
	}
	policies, err := store.Policies(ctx)
	if err != nil {
		return err
	}
	return store.WritePolicy(ctx, newPolicy, policies[newPolicy.GetName()].Revision)
}

// removePolicy removes a policy if the stored one has not changed meanwhile.
func removePolicy(ctx context.Context, store *platform.Store, name string) error {
	policies, err := store.Policies(ctx)
	if err != nil {
		return err
	}
	if _, exists := policies[name]; !exists {
		return errors.Newf("policy %q does not exist; \"balancer policy list\" shows those that do", name)
	}
	return store.RemovePolicy(ctx, name, policies[name].Revision)
}
