// Package admin implements the administration API and a client for it. Every
// node serves the same API over HTTP, with JSON bodies that follow the schema in
// admin.proto.
//
// [New] makes the API of a [Node], and [API.Handler] returns its HTTP handler. A
// change is accepted when it is written to the store; the response carries its
// revision. A refused request is answered with a Problem.
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

// Node is the interface through which the API reads and changes the node that
// serves it.
type Node interface {
	// Configuration returns the newest known configuration, or nil if none is
	// known.
	Configuration(ctx context.Context) (*apiv1.Configuration, error)
	// Change checks a change and writes it to the store. The error is a
	// *change.Problem if the change is refused.
	Change(ctx context.Context, request *apiv1.ChangeRequest) (*apiv1.ChangeAnswer, error)
	// Status describes the node and its view of the group.
	Status(ctx context.Context) (*apiv1.NodeStatus, error)
	// Explain returns the recorded decisions about a flow.
	Explain(ctx context.Context, key flow.Key) (*apiv1.Explanation, error)
	// Facts returns the node's data on the back ends.
	Facts(ctx context.Context) (*apiv1.FactsReport, error)
	// RecentFlows returns the flows of at most count of the newest decisions.
	RecentFlows(count int) *apiv1.RecentFlows
	// Ready reports whether the node can serve.
	Ready() bool
	// SetLogLevel sets the minimum level of the log. It fails for an unknown
	// level.
	SetLogLevel(level string) error
}

// API handles the requests of the administration API.
type API struct {
	node   Node
	logger *slog.Logger
	// administratorHash is the SHA-256 of the administrator token in the node's
	// settings, or nil if there is none.
	administratorHash []byte
}

// New returns the API of a node. adminTokenHash is the SHA-256 of the first
// administrator token in hex; it may be empty.
func New(node Node, logger *slog.Logger, adminTokenHash string) *API {
	hash, err := hex.DecodeString(adminTokenHash)
	if err != nil || len(hash) == 0 {
		hash = nil
	}
	return &API{node: node, logger: logger, administratorHash: hash}
}

// maximumBodySize is the number of bytes after which the body of a change request
// is cut off.
const maximumBodySize = 1 << 20

// Handler returns the HTTP handler of the API, the probes /healthz and /readyz,
// which need no token, and /metrics, which metrics serves.
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

// principal is the authenticated sender of a request.
type principal struct {
	name string
	role apiv1.Role
	team string
}

// authorizedHandler handles a request of a caller whose role was checked.
type authorizedHandler func(writer http.ResponseWriter, request *http.Request, caller principal)

// authorize returns a handler that calls next if the bearer token of the request
// has at least the given role, and refuses the request otherwise. While no token is
// configured, every caller is an administrator, so operators should set a token
// before anything else.
func (api *API) authorize(minimumRole apiv1.Role, next authorizedHandler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		caller, problem := api.authenticate(request)
		if problem == nil && caller.role < minimumRole {
			problem = change.NewProblem(change.CodeForbidden, "token", caller.name,
				fmt.Sprintf("has the role %s", caller.role), fmt.Sprintf("use a token with the role %s", minimumRole))
		}
		if problem != nil {
			api.writeProblem(writer, problem)
			return
		}
		next(writer, request, caller)
	}
}

// authenticate returns the owner of the bearer token. It compares hashes in
// constant time.
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
	for _, entry := range configuration.GetTokens() {
		if subtle.ConstantTimeCompare(sum[:], entry.GetSha256()) == 1 {
			return principal{name: entry.GetName(), role: entry.GetRole(), team: entry.GetTeam()}, nil
		}
	}
	return principal{}, change.NewProblem(change.CodeUnauthorized, "Authorization", "(hidden)",
		"the token is not known", "ask an administrator for a token")
}

// configuration writes the configuration without the hashes of the tokens.
func (api *API) configuration(writer http.ResponseWriter, request *http.Request, _ principal) {
	configuration, err := api.node.Configuration(request.Context())
	if err != nil {
		api.writeProblem(writer, toProblem(err))
		return
	}
	if configuration == nil {
		configuration = &apiv1.Configuration{}
	}
	redacted := proto.CloneOf(configuration)
	for _, token := range redacted.GetTokens() {
		token.Sha256 = nil
	}
	api.writeMessage(writer, http.StatusOK, redacted)
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

// maximumRecentFlows is the maximum number of flows in a response to
// /v1/recent-flows.
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
	changeRequest := &apiv1.ChangeRequest{}
	if err := protojson.Unmarshal(body, changeRequest); err != nil {
		api.writeProblem(writer, change.NewProblem(change.CodeInvalid, "body", "", err.Error(), "send a ChangeRequest as in admin.proto"))
		return
	}
	changeRequest.Author = caller.name
	if problem := api.authorizeChange(request.Context(), changeRequest, caller); problem != nil {
		api.writeProblem(writer, problem)
		return
	}
	result, err := api.node.Change(request.Context(), changeRequest)
	if err != nil {
		api.writeProblem(writer, toProblem(err))
		return
	}
	status := http.StatusOK
	if result.GetMarkedOnly() {
		status = http.StatusAccepted
	}
	api.logger.Info("Change accepted.", "author", caller.name, "revision", result.GetRevision(), "marked_only", result.GetMarkedOnly())
	api.writeMessage(writer, status, result)
}

// authorizeChange refuses a change by an editor unless it concerns a service of the
// editor's own team.
func (api *API) authorizeChange(ctx context.Context, changeRequest *apiv1.ChangeRequest, caller principal) *change.Problem {
	if caller.role >= apiv1.Role_ROLE_ADMINISTRATOR {
		return nil
	}
	configuration, err := api.node.Configuration(ctx)
	if err != nil {
		return toProblem(err)
	}
	name, team := "", ""
	switch body := changeRequest.GetChange().(type) {
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
	if service := change.FindService(configuration, name); service != nil && service.GetTeam() != caller.team || team != caller.team {
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

// writeMessage writes a message as JSON, with every field and the names of the
// schema.
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

// statusByCode holds the HTTP status of each code of a problem.
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

// retryAfter is the value of the Retry-After header for requests refused by a rate
// limit or an outage.
const retryAfter = 2 * time.Second

// writeProblem refuses a request with a problem and logs it.
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

// toProblem converts an error to a problem. An error other than a *change.Problem
// becomes a problem with the code unavailable, whose remedy is to try again.
func toProblem(err error) *change.Problem {
	if problem, isProblem := err.(*change.Problem); isProblem {
		return problem
	}
	return change.NewProblem(change.CodeUnavailable, "", "", err.Error(), "try again shortly")
}
