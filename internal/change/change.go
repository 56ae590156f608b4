// Package change applies operators' changes to a configuration.
//
// Apply is a pure function that returns the next configuration or a Problem. A Writer
// applies a change to the configuration in the store: it writes the result with
// compare-and-swap, so a change is accepted if and only if that write succeeds.
package change

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// maxAuditRecords bounds the audit records of changes in the configuration.
const maxAuditRecords = 128

// Environment holds what a change depends on besides the configuration and the request.
type Environment struct {
	Now time.Time
	// MarkIncarnations holds the incarnation of each known leaving mark, by back end.
	MarkIncarnations map[uint32]uint64
	// SettledRevision is the revision that every node has settled. Addresses
	// released up to it may be used again.
	SettledRevision uint64
	// WaitingFor names the nodes that have yet to settle the configuration.
	WaitingFor []string
	// CheckPolicy validates a policy program; nil skips the validation.
	CheckPolicy func(*apiv1.Policy) error
}

// FindOperation returns the record of an operation that has already been accepted, or nil.
func FindOperation(configuration *apiv1.Configuration, operation string) *apiv1.Change {
	for _, accepted := range configuration.GetChanges() {
		if operation != "" && accepted.GetOperationId() == operation {
			return accepted
		}
	}
	return nil
}

// Apply returns the configuration that results from a change. It does not modify the
// given configuration, which may be nil for the first change.
func Apply(configuration *apiv1.Configuration, request *apiv1.ChangeRequest, environment Environment) (*apiv1.Configuration, *Problem) {
	if problem := checkRequest(configuration, request); problem != nil {
		return nil, problem
	}
	next := &apiv1.Configuration{NextBackendId: 1}
	if configuration != nil {
		next = proto.CloneOf(configuration)
	}
	next.Revision++
	summary, problem := applyEdit(next, request, environment)
	if problem != nil {
		return nil, problem
	}
	if problem := checkLimits(next, request, environment); problem != nil {
		return nil, problem
	}
	next.Changes = append(next.Changes, &apiv1.Change{
		OperationId:      request.GetOperationId(),
		Revision:         next.GetRevision(),
		Author:           request.GetAuthor(),
		Summary:          summary,
		UnixMilliseconds: environment.Now.UnixMilli(),
	})
	if excess := len(next.GetChanges()) - maxAuditRecords; excess > 0 {
		next.Changes = next.GetChanges()[excess:]
	}
	return next, nil
}

func checkRequest(configuration *apiv1.Configuration, request *apiv1.ChangeRequest) *Problem {
	if request.GetOperationId() == "" {
		return invalid("operation_id", "", "is missing", "send a fresh ID with each change, the same one when you retry it")
	}
	base, current := request.GetBaseRevision(), configuration.GetRevision()
	if base == 0 || base == current {
		return nil
	}
	conflict := NewProblem(CodeConflict, "base_revision", strconv.FormatUint(base, 10),
		fmt.Sprintf("the configuration is at revision %d", current),
		"read it again, look whether your change still fits, and send it with that revision")
	conflict.CurrentRevision = current
	if changes := configuration.GetChanges(); len(changes) > 0 {
		conflict.ChangedBy = changes[len(changes)-1].GetAuthor()
	}
	return conflict
}

func applyEdit(next *apiv1.Configuration, request *apiv1.ChangeRequest, environment Environment) (string, *Problem) {
	switch change := request.GetChange().(type) {
	case *apiv1.ChangeRequest_PutService:
		return "put service " + change.PutService.GetName(), putService(next, change.PutService, environment)
	case *apiv1.ChangeRequest_DeleteService:
		return "delete service " + change.DeleteService, deleteService(next, change.DeleteService)
	case *apiv1.ChangeRequest_PutPolicy:
		return "put policy " + change.PutPolicy.GetName(), putPolicy(next, change.PutPolicy, environment)
	case *apiv1.ChangeRequest_Drain:
		return drainSummary(change.Drain), drain(next, change.Drain, environment)
	case *apiv1.ChangeRequest_RollbackPolicy:
		return "roll back policy " + change.RollbackPolicy, rollbackPolicy(next, change.RollbackPolicy)
	case *apiv1.ChangeRequest_PutTeam:
		return "put team " + change.PutTeam.GetName(), putTeam(next, change.PutTeam)
	case *apiv1.ChangeRequest_PutToken:
		return "put token " + change.PutToken.GetName(), putToken(next, change.PutToken)
	}
	return "", invalid("change", "", "is missing or not known", "name exactly one change")
}

// FindService returns the service with the given name, or nil.
func FindService(configuration *apiv1.Configuration, name string) *apiv1.Service {
	for _, service := range configuration.GetServices() {
		if service.GetName() == name {
			return service
		}
	}
	return nil
}

// FindBackend returns the back end of a service with the given name, or nil.
func FindBackend(service *apiv1.Service, name string) *apiv1.Backend {
	for _, backend := range service.GetBackends() {
		if backend.GetName() == name {
			return backend
		}
	}
	return nil
}

// FindPolicy returns the policy with the given name, or nil.
func FindPolicy(configuration *apiv1.Configuration, name string) *apiv1.Policy {
	for _, policy := range configuration.GetPolicies() {
		if policy.GetName() == name {
			return policy
		}
	}
	return nil
}
