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

// Backend is what the API needs of the node.
type Backend interface {
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
	// Recent lists the flows of the node's newest decisions.
	Recent(count int) *apiv1.RecentFlows
	// Ready reports whether the node can serve.
	Ready() bool
	// SetLogLevel changes the level of the logs.
	SetLogLevel(level string) error
}

// API serves the administration API.
type API struct {
	backend Backend
	logger  *slog.Logger
	// adminHash is the hash of the first administrator token, nil for none.
	adminHash []byte
}

// New makes the API. adminTokenHash is in hex and may be empty.
func New(backend Backend, logger *slog.Logger, adminTokenHash string) *API {
	hash, err := hex.DecodeString(adminTokenHash)
	if err != nil || len(hash) == 0 {
		hash = nil
	}
	return &API{backend: backend, logger: logger, adminHash: hash}
}

const maximumBody = 1 << 20

// Handler returns the HTTP handler; metrics is mounted beside the API.
func (api *API) Handler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/configuration", api.guard(apiv1.Role_ROLE_VIEWER, api.configuration))
	mux.HandleFunc("GET /v1/status", api.guard(apiv1.Role_ROLE_VIEWER, api.status))
	mux.HandleFunc("GET /v1/decisions", api.guard(apiv1.Role_ROLE_VIEWER, api.decisions))
	mux.HandleFunc("GET /v1/recent-flows", api.guard(apiv1.Role_ROLE_VIEWER, api.recent))
	mux.HandleFunc("GET /v1/facts", api.guard(apiv1.Role_ROLE_VIEWER, api.facts))
	mux.HandleFunc("POST /v1/changes", api.guard(apiv1.Role_ROLE_EDITOR, api.change))
	mux.HandleFunc("PUT /v1/log-level", api.guard(apiv1.Role_ROLE_ADMINISTRATOR, api.logLevel))
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "ok\n")
	})
	mux.HandleFunc("GET /readyz", api.ready)
	mux.Handle("GET /metrics", metrics)
	return mux
}

func (api *API) ready(writer http.ResponseWriter, _ *http.Request) {
	if !api.backend.Ready() {
		http.Error(writer, "out of contact with the group, or no state yet", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// caller is who makes a request.
type caller struct {
	name string
	role apiv1.Role
	team string
}

type handler func(writer http.ResponseWriter, request *http.Request, caller caller)

// guard checks the bearer token. Without any token configured, everyone is an
// administrator: the first thing to do is to set one.
func (api *API) guard(least apiv1.Role, next handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		caller, problem := api.identify(request)
		if problem == nil && caller.role < least {
			problem = change.NewProblem(change.CodeForbidden, "token", caller.name,
				fmt.Sprintf("has the role %s", caller.role), fmt.Sprintf("use a token with the role %s", least))
		}
		if problem != nil {
			api.fail(writer, problem)
			return
		}
		next(writer, request, caller)
	}
}

func (api *API) identify(request *http.Request) (caller, *change.Problem) {
	configuration, err := api.backend.Configuration(request.Context())
	if err != nil {
		return caller{}, asProblem(err)
	}
	if api.adminHash == nil && len(configuration.GetTokens()) == 0 {
		return caller{name: "anyone", role: apiv1.Role_ROLE_ADMINISTRATOR}, nil
	}
	token, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !found {
		return caller{}, change.NewProblem(change.CodeUnauthorized, "Authorization", "",
			"the request carries no bearer token", "set INDIGOBARROW_TOKEN or --token")
	}
	sum := sha256.Sum256([]byte(token))
	if api.adminHash != nil && subtle.ConstantTimeCompare(sum[:], api.adminHash) == 1 {
		return caller{name: "administrator", role: apiv1.Role_ROLE_ADMINISTRATOR}, nil
	}
	for _, known := range configuration.GetTokens() {
		if subtle.ConstantTimeCompare(sum[:], known.GetSha256()) == 1 {
			return caller{name: known.GetName(), role: known.GetRole(), team: known.GetTeam()}, nil
		}
	}
	return caller{}, change.NewProblem(change.CodeUnauthorized, "Authorization", "(hidden)",
		"the token is not known", "ask an administrator for a token")
}

func (api *API) configuration(writer http.ResponseWriter, request *http.Request, _ caller) {
	configuration, err := api.backend.Configuration(request.Context())
	if err != nil {
		api.fail(writer, asProblem(err))
		return
	}
	if configuration == nil {
		configuration = &apiv1.Configuration{}
	}
	shown := proto.CloneOf(configuration)
	for _, token := range shown.GetTokens() {
		token.Sha256 = nil
	}
	api.answer(writer, http.StatusOK, shown)
}

func (api *API) status(writer http.ResponseWriter, request *http.Request, _ caller) {
	status, err := api.backend.Status(request.Context())
	if err != nil {
		api.fail(writer, asProblem(err))
		return
	}
	api.answer(writer, http.StatusOK, status)
}

func (api *API) facts(writer http.ResponseWriter, request *http.Request, _ caller) {
	report, err := api.backend.Facts(request.Context())
	if err != nil {
		api.fail(writer, asProblem(err))
		return
	}
	api.answer(writer, http.StatusOK, report)
}

// recentCount bounds the flows listed.
const recentCount = 20

func (api *API) recent(writer http.ResponseWriter, _ *http.Request, _ caller) {
	api.answer(writer, http.StatusOK, api.backend.Recent(recentCount))
}

func (api *API) decisions(writer http.ResponseWriter, request *http.Request, _ caller) {
	text := request.URL.Query().Get("flow")
	key, err := flow.Parse(text)
	if err != nil {
		api.fail(writer, change.NewProblem(change.CodeInvalid, "flow", text, err.Error(),
			"write it like 10.64.0.5:40000-10.200.0.1:80"))
		return
	}
	explanation, err := api.backend.Explain(request.Context(), key)
	if err != nil {
		api.fail(writer, asProblem(err))
		return
	}
	api.answer(writer, http.StatusOK, explanation)
}

func (api *API) change(writer http.ResponseWriter, request *http.Request, caller caller) {
	body, err := io.ReadAll(io.LimitReader(request.Body, maximumBody))
	if err != nil {
		api.fail(writer, asProblem(err))
		return
	}
	wanted := &apiv1.ChangeRequest{}
	if err := protojson.Unmarshal(body, wanted); err != nil {
		api.fail(writer, change.NewProblem(change.CodeInvalid, "body", "", err.Error(), "send a ChangeRequest as in admin.proto"))
		return
	}
	wanted.Author = caller.name
	if problem := api.allowed(request.Context(), wanted, caller); problem != nil {
		api.fail(writer, problem)
		return
	}
	answer, err := api.backend.Change(request.Context(), wanted)
	if err != nil {
		api.fail(writer, asProblem(err))
		return
	}
	status := http.StatusOK
	if answer.GetMarkedOnly() {
		status = http.StatusAccepted
	}
	api.logger.Info("Change accepted.", "author", caller.name, "revision", answer.GetRevision(), "marked_only", answer.GetMarkedOnly())
	api.answer(writer, status, answer)
}

// allowed checks that an editor changes only services of its own team.
func (api *API) allowed(ctx context.Context, wanted *apiv1.ChangeRequest, caller caller) *change.Problem {
	if caller.role >= apiv1.Role_ROLE_ADMINISTRATOR {
		return nil
	}
	configuration, err := api.backend.Configuration(ctx)
	if err != nil {
		return asProblem(err)
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

func (api *API) logLevel(writer http.ResponseWriter, request *http.Request, _ caller) {
	level := request.URL.Query().Get("level")
	if err := api.backend.SetLogLevel(level); err != nil {
		api.fail(writer, change.NewProblem(change.CodeInvalid, "level", level, "is not known", "use debug, info, warn or error"))
		return
	}
	_, _ = io.WriteString(writer, "ok\n")
}

func (api *API) answer(writer http.ResponseWriter, status int, message proto.Message) {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Marshal(message)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

var statusOf = map[string]int{
	change.CodeInvalid:      http.StatusUnprocessableEntity,
	change.CodeConflict:     http.StatusConflict,
	change.CodeNotFound:     http.StatusNotFound,
	change.CodeForbidden:    http.StatusForbidden,
	change.CodeUnauthorized: http.StatusUnauthorized,
	change.CodeLimit:        http.StatusTooManyRequests,
	change.CodeUnavailable:  http.StatusServiceUnavailable,
	change.CodeUnknown:      http.StatusGatewayTimeout,
}

// comeBack is when a caller should try again after a limit or an outage.
const comeBack = 2 * time.Second

func (api *API) fail(writer http.ResponseWriter, problem *change.Problem) {
	status, known := statusOf[problem.GetCode()]
	if !known {
		status = http.StatusInternalServerError
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		writer.Header().Set("Retry-After", fmt.Sprint(int(comeBack.Seconds())))
	}
	api.logger.Info("Request refused.", "code", problem.GetCode(), "field", problem.GetField(), "message", problem.GetMessage())
	api.answer(writer, status, problem.Problem)
}

func asProblem(err error) *change.Problem {
	if problem, isProblem := err.(*change.Problem); isProblem {
		return problem
	}
	return change.NewProblem(change.CodeUnavailable, "", "", err.Error(), "try again shortly")
}
