// Package admin is the administration API: HTTP with JSON bodies that follow
// the schema, the same on every node. A change is accepted when it is written
// to the store; the answer carries its revision.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/change"
	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// Node is what the API needs of the node.
type Node interface {
	// Configuration reads the newest configuration; it may be nil.
	Configuration(ctx context.Context) (*apiv1.Configuration, error)
	// Change applies a change through the store.
	Change(ctx context.Context, request *apiv1.ChangeRequest) (*apiv1.ChangeAnswer, error)
	// Status describes the node and its view of the group.
	Status(ctx context.Context) (*apiv1.NodeStatus, error)
	// Explain tells what the node knows of a flow.
	Explain(ctx context.Context, key flow.Key) (*apiv1.Explanation, error)
	// Facts tells what the node knows of the back ends.
	Facts(ctx context.Context) (*apiv1.FactsReport, error)
	// RecentFlows lists the flows of the node's newest decisions.
	RecentFlows(count int) *apiv1.RecentFlows
	// Ready reports whether the node can serve.
	Ready() bool
	// SetLogLevel changes the level of the logs.
	SetLogLevel(level string) error
}

// API serves the administration API.
type API struct {
	node   Node
	logger *slog.Logger
	// administratorHash is the hash of the first administrator token, nil for none.
	administratorHash []byte
}

// New makes the API. adminTokenHash is in hex and may be empty.
func New(backend Node, logger *slog.Logger, adminTokenHash string) *API {
	hash, err := hex.DecodeString(adminTokenHash)
	if err != nil || len(hash) == 0 {
		hash = nil
	}
	return &API{node: backend, logger: logger, administratorHash: hash}
}

const maximumBodySize = 1 << 20

// Handler returns the HTTP handler; metrics is mounted beside the API.
func (api *API) Handler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/configuration", api.authorize(apiv1.Role_ROLE_VIEWER, api.configuration))
	mux.HandleFunc("GET /v1/status", api.authorize(apiv1.Role_ROLE_VIEWER, api.status))
	mux.HandleFunc("GET /v1/decisions", api.authorize(apiv1.Role_ROLE_VIEWER, api.decisions))
	mux.HandleFunc("GET /v1/recent-flows", api.authorize(apiv1.Role_ROLE_VIEWER, api.recentFlows))
	mux.HandleFunc("GET /v1/facts", api.authorize(apiv1.Role_ROLE_VIEWER, api.facts))
	mux.HandleFunc("POST /v1/changes", api.authorize(apiv1.Role_ROLE_EDITOR, api.change))
	mux.HandleFunc("PUT /v1/log-level", api.authorize(apiv1.Role_ROLE_ADMINISTRATOR, api.setLogLevel))
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "ok\n")
	})
	mux.HandleFunc("GET /readyz", api.ready)
	mux.Handle("GET /metrics", metrics)
	return mux
}

func (api *API) ready(writer http.ResponseWriter, _ *http.Request) {
	if !api.node.Ready() {
		http.Error(writer, "out of contact with the group, or no state yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// principal is who makes a request.
type principal struct {
	name string
	role apiv1.Role
	team string
}

type authorizedHandler func(writer http.ResponseWriter, request *http.Request, caller principal)

// authorize checks the bearer token. Without any token configured, everyone is an
// administrator: the first thing to do is to set one.
func (api *API) authorize(least apiv1.Role, next authorizedHandler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		caller, problem := api.authenticate(request)
		if problem == nil && caller.role < least {
			problem = change.NewProblem(change.CodeForbidden, "token", caller.name,
				fmt.Sprintf("has the role %s", caller.role), fmt.Sprintf("use a token with the role %s", least))
		}
		if problem != nil {
			api.writeProblem(writer, problem)
			return
		}
		next(writer, request, caller)
	}
}

func (api *API) authenticate(request *http.Request) (principal, *change.Problem) {
	configuration, err := api.node.Configuration(request.Context())
	if err != nil {
		return principal{}, toProblem(err)
	}
	if api.administratorHash == nil && len(configuration.GetTokens()) == 0 {
		return principal{name: "anyone", role: apiv1.Role_ROLE_ADMINISTRATOR}, nil
	}
	token, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found {
		return principal{}, change.NewProblem(change.CodeUnauthorized, "Authorization", "",
			"the request carries no bearer token", "set INDIGOBARROW_TOKEN or --token")
	}
	sum := sha256.Sum256([]byte(token))
	if api.administratorHash != nil && subtle.ConstantTimeCompare(sum[:], api.administratorHash) == 1 {
		return principal{name: "administrator", role: apiv1.Role_ROLE_ADMINISTRATOR}, nil
	}
	for _, known := range configuration.GetTokens() {
		if subtle.ConstantTimeCompare(sum[:], known.GetSha256()) == 1 {
			return principal{name: known.GetName(), role: known.GetRole(), team: known.GetTeam()}, nil
		}
	}
	return principal{}, change.NewProblem(change.CodeUnauthorized, "Authorization", "(hidden)",
		"the token is not known", "ask an administrator for a token")
}

func (api *API) configuration(writer http.ResponseWriter, request *http.Request, _ principal) {
	configuration, err := api.node.Configuration(request.Context())
	if err != nil {
		api.writeProblem(writer, toProblem(err))
		return
	}
	if configuration == nil {
		configuration = &apiv1.Configuration{}
	}
	shown := proto.CloneOf(configuration)
	for _, token := range shown.GetTokens() {
		token.Sha256 = nil
	}
	api.writeMessage(writer, http.StatusOK, shown)
}

func (api *API) status(writer http.ResponseWriter, request *http.Request, _ principal) {
	status, err := api.node.Status(request.Context())
	if err != nil {
		api.writeProblem(writer, toProblem(err))
		return
	}
	api.writeMessage(writer, http.StatusOK, status)
}

func (api *API) facts(writer http.ResponseWriter, request *http.Request, _ principal) {
	report, err := api.node.Facts(request.Context())
	if err != nil {
		api.writeProblem(writer, toProblem(err))
		return
	}
	api.writeMessage(writer, http.StatusOK, report)
}

// maximumRecentFlows bounds the flows listed.
const maximumRecentFlows = 20

func (api *API) recentFlows(writer http.ResponseWriter, _ *http.Request, _ principal) {
	api.writeMessage(writer, http.StatusOK, api.node.RecentFlows(maximumRecentFlows))
}

func (api *API) decisions(writer http.ResponseWriter, request *http.Request, _ principal) {
	text := request.URL.Query().Get("flow")
	key, err := flow.Parse(text)
	if err != nil {
		api.writeProblem(writer, change.NewProblem(change.CodeInvalid, "flow", text, err.Error(),
			"write it like 10.64.0.5:40000-10.200.0.1:80"))
		return
	}
	explanation, err := api.node.Explain(request.Context(), key)
	if err != nil {
		api.writeProblem(writer, toProblem(err))
		return
	}
	api.writeMessage(writer, http.StatusOK, explanation)
}

func (api *API) change(writer http.ResponseWriter, request *http.Request, caller principal) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maximumBodySize))
	if err != nil {
		api.writeProblem(writer, toProblem(err))
		return
	}
	wanted := &apiv1.ChangeRequest{}
	if err := protojson.Unmarshal(body, wanted); err != nil {
		api.writeProblem(writer, change.NewProblem(change.CodeInvalid, "body", "", err.Error(), "send a ChangeRequest as in admin.proto"))
		return
	}
	wanted.Author = caller.name
	if problem := api.authorizeChange(request.Context(), wanted, caller); problem != nil {
		api.writeProblem(writer, problem)
		return
	}
	answer, err := api.node.Change(request.Context(), wanted)
	if err != nil {
		api.writeProblem(writer, toProblem(err))
		return
	}
	status := http.StatusOK
	if answer.GetMarkedOnly() {
		status = http.StatusAccepted
	}
	api.logger.Info("Change accepted.", "author", caller.name, "revision", answer.GetRevision(), "marked_only", answer.GetMarkedOnly())
	api.writeMessage(writer, status, answer)
}

// authorizeChange checks that an editor changes only services of its own team.
func (api *API) authorizeChange(ctx context.Context, wanted *apiv1.ChangeRequest, caller principal) *change.Problem {
	if caller.role >= apiv1.Role_ROLE_ADMINISTRATOR {
		return nil
	}
	configuration, err := api.node.Configuration(ctx)
	if err != nil {
		return toProblem(err)
	}
	name, team := "", ""
	switch body := wanted.GetChange().(type) {
	case *apiv1.ChangeRequest_PutService:
		name, team = body.PutService.GetName(), body.PutService.GetTeam()
	case *apiv1.ChangeRequest_DeleteService:
		name, team = body.DeleteService, caller.team
	case *apiv1.ChangeRequest_Drain:
		name, team = body.Drain.GetService(), caller.team
	default:
		return change.NewProblem(change.CodeForbidden, "token", caller.name,
			"is an editor's", "policies, teams and tokens need an administrator's token")
	}
	if known := change.FindService(configuration, name); known != nil && known.GetTeam() != caller.team || team != caller.team {
		return change.NewProblem(change.CodeForbidden, "service", name,
			"does not belong to team "+caller.team, "use a token of the service's team")
	}
	return nil
}

func (api *API) setLogLevel(writer http.ResponseWriter, request *http.Request, _ principal) {
	level := request.URL.Query().Get("level")
	if err := api.node.SetLogLevel(level); err != nil {
		api.writeProblem(writer, change.NewProblem(change.CodeInvalid, "level", level, "is not known", "use debug, info, warn or error"))
		return
	}
	_, _ = io.WriteString(writer, "ok\n")
}

func (api *API) writeMessage(writer http.ResponseWriter, status int, message proto.Message) {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Marshal(message)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

var statusByCode = map[string]int{
	change.CodeInvalid:      http.StatusUnprocessableEntity,
	change.CodeConflict:     http.StatusConflict,
	change.CodeNotFound:     http.StatusNotFound,
	change.CodeForbidden:    http.StatusForbidden,
	change.CodeUnauthorized: http.StatusUnauthorized,
	change.CodeLimit:        http.StatusTooManyRequests,
	change.CodeUnavailable:  http.StatusServiceUnavailable,
	change.CodeUnknown:      http.StatusGatewayTimeout,
}

// retryAfter is when a caller should try again after a limit or an outage.
const retryAfter = 2 * time.Second

func (api *API) writeProblem(writer http.ResponseWriter, problem *change.Problem) {
	status, known := statusByCode[problem.GetCode()]
	if !known {
		status = http.StatusInternalServerError
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		writer.Header().Set("Retry-After", fmt.Sprint(int(retryAfter.Seconds())))
	}
	api.logger.Info("Request refused.", "code", problem.GetCode(), "field", problem.GetField(), "message", problem.GetMessage())
	api.writeMessage(writer, status, problem.Problem)
}

func toProblem(err error) *change.Problem {
	if problem, isProblem := err.(*change.Problem); isProblem {
		return problem
	}
	return change.NewProblem(change.CodeUnavailable, "", "", err.Error(), "try again shortly")
}
