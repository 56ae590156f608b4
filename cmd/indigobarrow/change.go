package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/change"
)

// applyChange sends a change and prints the answer.
func applyChange(ctx context.Context, command *cli.Command, request *apiv1.ChangeRequest) error {
	request.BaseRevision = command.Uint64("base-revision")
	request.OperationId = command.String("operation-id")
	if request.GetOperationId() == "" {
		request.OperationId = rand.Text()
	}
	asked, err := nodeClient(command)
	if err != nil {
		return err
	}
	answer, err := asked.Change(ctx, request)
	if err != nil {
		return err
	}
	if asJSON(command) {
		return printJSON(answer)
	}
	fmt.Printf("revision %d: %s (operation %s)\n", answer.GetRevision(), answer.GetMessage(), request.GetOperationId())
	return nil
}

// readFile reads a message in JSON from a file, or from standard input for "-".
func readFile(path string, message proto.Message) error {
	var content []byte
	var err error
	if path == "-" {
		content, err = os.ReadFile("/dev/stdin")
	} else {
		content, err = os.ReadFile(path)
	}
	if err != nil {
		return errors.Wrap(err, "read")
	}
	return errors.Wrapf(protojson.Unmarshal(content, message), "file %s", path)
}

func argument(command *cli.Command, place int, name string) (string, error) {
	if value := command.Args().Get(place); value != "" {
		return value, nil
	}
	return "", change.NewProblem(change.CodeInvalid, name, "", "is missing", "see \"indigobarrow "+command.Name+" --help\"")
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "services and their back ends",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the services", Flags: clientFlags(), Action: listServices},
			{Name: "get", Usage: "show a service", ArgsUsage: "NAME", Flags: clientFlags(), Action: getService},
			{Name: "apply", Usage: "create or replace a service from a JSON file", ArgsUsage: "FILE", Flags: changeFlags(),
				Action: func(ctx context.Context, command *cli.Command) error {
					path, err := argument(command, 0, "FILE")
					if err != nil {
						return err
					}
					service := &apiv1.Service{}
					if err := readFile(path, service); err != nil {
						return err
					}
					return applyChange(ctx, command, &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutService{PutService: service}})
				}},
			{Name: "delete", Usage: "delete a drained service", ArgsUsage: "NAME", Flags: changeFlags(),
				Action: func(ctx context.Context, command *cli.Command) error {
					name, err := argument(command, 0, "NAME")
					if err != nil {
						return err
					}
					return applyChange(ctx, command, &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_DeleteService{DeleteService: name}})
				}},
		},
	}
}

func listServices(ctx context.Context, command *cli.Command) error {
	configuration, err := readConfiguration(ctx, command)
	if err != nil {
		return err
	}
	if asJSON(command) {
		return printJSON(configuration)
	}
	rows := newTable("SERVICE", "ADDRESS", "TEAM", "POLICY", "BACK ENDS", "LEAVING")
	for _, service := range configuration.GetServices() {
		leaving := 0
		for _, backend := range service.GetBackends() {
			if backend.GetLeaving() {
				leaving++
			}
		}
		rows.addRow(service.GetName(), fmt.Sprintf("%s:%d", service.GetAddress(), service.GetPort()), service.GetTeam(),
			service.GetPolicy(), strconv.Itoa(len(service.GetBackends())), strconv.Itoa(leaving))
	}
	return rows.flush()
}

func getService(ctx context.Context, command *cli.Command) error {
	name, err := argument(command, 0, "NAME")
	if err != nil {
		return err
	}
	configuration, err := readConfiguration(ctx, command)
	if err != nil {
		return err
	}
	service := change.FindService(configuration, name)
	if service == nil {
		return change.NewProblem(change.CodeNotFound, "service", name, "there is no such service",
			"list them with \"indigobarrow service list\"")
	}
	if asJSON(command) {
		return printJSON(service)
	}
	asked, err := nodeClient(command)
	if err != nil {
		return err
	}
	status, err := asked.Status(ctx)
	if err != nil {
		return err
	}
	rows := newTable("BACK END", "NUMBER", "ZONE", "TUNNEL", "LEAVING", "FLOWS AT "+status.GetId())
	for _, backend := range service.GetBackends() {
		rows.addRow(backend.GetName(), strconv.Itoa(int(backend.GetId())), backend.GetZone(), backend.GetTunnelAddress(),
			strconv.FormatBool(backend.GetLeaving()), strconv.FormatUint(status.GetFlowsByBackend()[backend.GetId()], 10))
	}
	return rows.flush()
}

// drainCommand is drain, or undrain for leaving false.
func drainCommand(leaving bool) *cli.Command {
	name, usage := "drain", "let a back end leave: it gets no new flows, its open ones go on"
	if !leaving {
		name, usage = "undrain", "end a drain"
	}
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "SERVICE/BACKEND", Flags: changeFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			place, err := argument(command, 0, "SERVICE/BACKEND")
			if err != nil {
				return err
			}
			service, backend, found := strings.Cut(place, "/")
			if !found {
				return change.NewProblem(change.CodeInvalid, "SERVICE/BACKEND", place, "has no slash", "write it like lending/lending-3")
			}
			request := &apiv1.DrainRequest{Service: service, Backend: backend, Leaving: leaving}
			return applyChange(ctx, command, &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_Drain{Drain: request}})
		},
	}
}

func tokenCommand() *cli.Command {
	return &cli.Command{
		Name:  "token",
		Usage: "bearer tokens",
		Commands: []*cli.Command{{
			Name: "create", Usage: "create or replace a token and print its text once", ArgsUsage: "NAME",
			Flags: changeFlags(
				&cli.StringFlag{Name: "role", Value: "viewer", Usage: "viewer, editor or administrator"},
				&cli.StringFlag{Name: "team", Usage: "team of an editor"}),
			Action: createToken,
		}},
	}
}

func createToken(ctx context.Context, command *cli.Command) error {
	name, err := argument(command, 0, "NAME")
	if err != nil {
		return err
	}
	role, known := apiv1.Role_value["ROLE_"+strings.ToUpper(command.String("role"))]
	if !known || role == 0 {
		return change.NewProblem(change.CodeInvalid, "role", command.String("role"), "is not known", "use viewer, editor or administrator")
	}
	secret := rand.Text()
	sum := sha256.Sum256([]byte(secret))
	token := &apiv1.Token{Name: name, Sha256: sum[:], Role: apiv1.Role(role), Team: command.String("team")}
	if err := applyChange(ctx, command, &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutToken{PutToken: token}}); err != nil {
		return err
	}
	fmt.Printf("token %s (only its hash %s is kept)\n", secret, hex.EncodeToString(sum[:4]))
	return nil
}
