// Package change applies operators' changes to a configuration. Apply is a pure
// function; the caller writes the result under compare-and-swap, so a change is
// accepted exactly when that write holds.
package change

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// maximumChanges bounds the audit records kept in the configuration.
const maximumChanges = 128

// Context is what a change needs to know besides the configuration.
type Context struct {
	Now time.Time
	// MarkIncarnations are the incarnations of the known leaving marks.
	MarkIncarnations map[uint32]uint64
	// SettledRevision is the revision that every node has settled, before
	// which released addresses are free again.
	SettledRevision uint64
	// WaitingFor are the nodes that hold up the settling.
	WaitingFor []string
	// CheckPolicy checks a policy program; nil skips the check.
	CheckPolicy func(*apiv1.Policy) error
}

// Find returns the record of an operation that was accepted before, or nil.
func Find(configuration *apiv1.Configuration, operation string) *apiv1.Change {
	for _, accepted := range configuration.GetChanges() {
		if operation != "" && accepted.GetOperationId() == operation {
			return accepted
		}
	}
	return nil
}

// Apply returns the next configuration. The given one is not changed; it may
// be nil for the first change.
func Apply(configuration *apiv1.Configuration, request *apiv1.ChangeRequest, context Context) (*apiv1.Configuration, *Problem) {
	if problem := checkRequest(configuration, request); problem != nil {
		return nil, problem
	}
	next := &apiv1.Configuration{NextBackendId: 1}
	if configuration != nil {
		next = proto.CloneOf(configuration)
	}
	next.Revision++
	summary, problem := edit(next, request, context)
	if problem != nil {
		return nil, problem
	}
	if problem := checkLimits(next, request, context); problem != nil {
		return nil, problem
	}
	next.Changes = append(next.Changes, &apiv1.Change{
		OperationId:      request.GetOperationId(),
		Revision:         next.GetRevision(),
		Author:           request.GetAuthor(),
		Summary:          summary,
		UnixMilliseconds: context.Now.UnixMilli(),
	})
	if excess := len(next.GetChanges()) - maximumChanges; excess > 0 {
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

func edit(next *apiv1.Configuration, request *apiv1.ChangeRequest, context Context) (string, *Problem) {
	switch change := request.GetChange().(type) {
	case *apiv1.ChangeRequest_PutService:
		return "put service " + change.PutService.GetName(), putService(next, change.PutService, context)
	case *apiv1.ChangeRequest_DeleteService:
		return "delete service " + change.DeleteService, deleteService(next, change.DeleteService)
	case *apiv1.ChangeRequest_PutPolicy:
		return "put policy " + change.PutPolicy.GetName(), putPolicy(next, change.PutPolicy, context)
	case *apiv1.ChangeRequest_Drain:
		return drainSummary(change.Drain), drain(next, change.Drain, context)
	case *apiv1.ChangeRequest_RollbackPolicy:
		return "roll back policy " + change.RollbackPolicy, rollbackPolicy(next, change.RollbackPolicy)
	case *apiv1.ChangeRequest_PutTeam:
		return "put team " + change.PutTeam.GetName(), putTeam(next, change.PutTeam)
	case *apiv1.ChangeRequest_PutToken:
		return "put token " + change.PutToken.GetName(), putToken(next, change.PutToken)
	}
	return "", invalid("change", "", "is missing or not known", "name exactly one change")
}

// FindService returns a service by name, or nil.
func FindService(configuration *apiv1.Configuration, name string) *apiv1.Service {
	for _, service := range configuration.GetServices() {
		if service.GetName() == name {
			return service
		}
	}
	return nil
}

// FindBackend returns a service's back end by name, or nil.
func FindBackend(service *apiv1.Service, name string) *apiv1.Backend {
	for _, backend := range service.GetBackends() {
		if backend.GetName() == name {
			return backend
		}
	}
	return nil
}

// FindPolicy returns a policy by name, or nil.
func FindPolicy(configuration *apiv1.Configuration, name string) *apiv1.Policy {
	for _, policy := range configuration.GetPolicies() {
		if policy.GetName() == name {
			return policy
		}
	}
	return nil
}

func putService(next *apiv1.Configuration, service *apiv1.Service, context Context) *Problem {
	if problem := checkService(next, service, context); problem != nil {
		return problem
	}
	wanted := proto.CloneOf(service)
	old := FindService(next, service.GetName())
	if problem := numberBackends(next, old, wanted); problem != nil {
		return problem
	}
	if old == nil {
		next.Services = append(next.Services, wanted)
		return nil
	}
	if old.GetAddress() != wanted.GetAddress() || old.GetPort() != wanted.GetPort() {
		return invalid("address", wanted.GetAddress(), "a service keeps its address for life",
			"create a second service, move the callers, then delete this one")
	}
	proto.Reset(old)
	proto.Merge(old, wanted)
	return nil
}

// numberBackends gives new back ends their numbers and keeps those of known
// ones. A known back end may be left out only when it is leaving.
func numberBackends(next *apiv1.Configuration, old, wanted *apiv1.Service) *Problem {
	for _, backend := range wanted.GetBackends() {
		known := FindBackend(old, backend.GetName())
		if known != nil && known.GetTunnelAddress() == backend.GetTunnelAddress() {
			backend.Id = known.GetId()
			backend.Leaving = known.GetLeaving()
			backend.ClearedMark = known.GetClearedMark()
			continue
		}
		if known != nil && !known.GetLeaving() {
			return invalid("tunnel_address", backend.GetTunnelAddress(),
				"back end "+backend.GetName()+" has open flows at its old address",
				"drain it first, or add the machine under another name")
		}
		backend.Id = next.GetNextBackendId()
		next.NextBackendId++
	}
	for _, known := range old.GetBackends() {
		if FindBackend(wanted, known.GetName()) == nil && !known.GetLeaving() {
			return invalid("backends", known.GetName(), "is in service and cannot be removed",
				"drain it, wait until its flows have ended, then remove it")
		}
	}
	return nil
}

func checkService(next *apiv1.Configuration, service *apiv1.Service, context Context) *Problem {
	if service.GetName() == "" {
		return invalid("name", "", "is missing", "name the service")
	}
	address, err := flow.ParseAddress(service.GetAddress(), service.GetPort())
	if err != nil {
		return invalid("address", fmt.Sprintf("%s:%d", service.GetAddress(), service.GetPort()),
			err.Error(), "write an IPv4 address and a port of 1 to 65535")
	}
	for _, other := range next.GetServices() {
		if other.GetName() != service.GetName() && other.GetAddress() == service.GetAddress() && other.GetPort() == service.GetPort() {
			return invalid("address", address.String(), "is used by service "+other.GetName(), "choose another address or port")
		}
	}
	if problem := checkRelease(next, service, context); problem != nil {
		return problem
	}
	if service.GetPolicy() != "" && FindPolicy(next, service.GetPolicy()) == nil {
		return invalid("policy", service.GetPolicy(), "there is no such policy", "create the policy first")
	}
	return checkBackends(service)
}

// checkRelease refuses an address that another service has left until every
// node has settled a configuration without it.
func checkRelease(next *apiv1.Configuration, service *apiv1.Service, context Context) *Problem {
	kept := next.GetReleasedAddresses()[:0:0]
	for _, released := range next.GetReleasedAddresses() {
		same := released.GetAddress() == service.GetAddress() && released.GetPort() == service.GetPort()
		free := context.SettledRevision >= released.GetRevision()
		if same && !free && released.GetService() != service.GetName() {
			return NewProblem(CodeUnavailable, "address", service.GetAddress(),
				fmt.Sprintf("service %s has left it in revision %d, which not every node has confirmed; waiting for %v",
					released.GetService(), released.GetRevision(), context.WaitingFor),
				"try again when \"indigobarrow status --wait\" reports the revision in force")
		}
		if !same {
			kept = append(kept, released)
		}
	}
	next.ReleasedAddresses = kept
	return nil
}

func checkBackends(service *apiv1.Service) *Problem {
	names := make(map[string]bool)
	for _, backend := range service.GetBackends() {
		if backend.GetName() == "" || names[backend.GetName()] {
			return invalid("backends.name", backend.GetName(), "is missing or used twice", "give each back end a name of its own")
		}
		names[backend.GetName()] = true
		parsed, err := netip.ParseAddrPort(backend.GetTunnelAddress())
		if err != nil || !parsed.Addr().Is4() {
			return invalid("backends.tunnel_address", backend.GetTunnelAddress(),
				"is not an IPv4 address and port", "write it like 127.0.0.1:6080")
		}
	}
	if len(service.GetBackends()) == 0 {
		return invalid("backends", "", "are missing", "name at least one back end")
	}
	return nil
}

func deleteService(next *apiv1.Configuration, name string) *Problem {
	service := FindService(next, name)
	if service == nil {
		return NewProblem(CodeNotFound, "service", name, "there is no such service", "list them with \"indigobarrow service list\"")
	}
	for _, backend := range service.GetBackends() {
		if !backend.GetLeaving() {
			return invalid("service", name, "back end "+backend.GetName()+" still takes flows",
				"drain all its back ends, wait until their flows have ended, then delete the service")
		}
	}
	kept := next.GetServices()[:0:0]
	for _, other := range next.GetServices() {
		if other.GetName() != name {
			kept = append(kept, other)
		}
	}
	next.Services = kept
	next.ReleasedAddresses = append(next.ReleasedAddresses, &apiv1.ReleasedAddress{
		Address: service.GetAddress(), Port: service.GetPort(), Service: name, Revision: next.GetRevision()})
	return nil
}

func putPolicy(next *apiv1.Configuration, policy *apiv1.Policy, context Context) *Problem {
	if policy.GetName() == "" {
		return invalid("name", "", "is missing", "name the policy")
	}
	if context.CheckPolicy != nil {
		if err := context.CheckPolicy(policy); err != nil {
			return invalid("policy", policy.GetName(), err.Error(), "mend the expression; \"indigobarrow policy check\" tries it")
		}
	}
	replacePolicy(next, policy)
	return nil
}

// maximumHistory bounds the replaced policies that are kept.
const maximumHistory = 32

// replacePolicy puts a policy in place and keeps the one it replaces.
func replacePolicy(next *apiv1.Configuration, policy *apiv1.Policy) {
	old := FindPolicy(next, policy.GetName())
	if old == nil {
		next.Policies = append(next.Policies, proto.CloneOf(policy))
		return
	}
	next.PolicyHistory = append(next.PolicyHistory, proto.CloneOf(old))
	if excess := len(next.GetPolicyHistory()) - maximumHistory; excess > 0 {
		next.PolicyHistory = next.GetPolicyHistory()[excess:]
	}
	proto.Reset(old)
	proto.Merge(old, policy)
}

// rollbackPolicy puts the policy back that the present one has replaced. It is
// a change like any other, with a revision of its own.
func rollbackPolicy(next *apiv1.Configuration, name string) *Problem {
	history := next.GetPolicyHistory()
	for place := len(history) - 1; place >= 0; place-- {
		if history[place].GetName() == name {
			next.PolicyHistory = append(history[:place:place], history[place+1:]...)
			replacePolicy(next, history[place])
			return nil
		}
	}
	return NewProblem(CodeNotFound, "policy", name, "no earlier version of it is kept",
		"apply the version you want from a file")
}

func drainSummary(request *apiv1.DrainRequest) string {
	verb := "drain"
	if !request.GetLeaving() {
		verb = "undrain"
	}
	return verb + " " + request.GetService() + "/" + request.GetBackend()
}

// drain sets or ends a drain. Draining a draining back end is no error.
func drain(next *apiv1.Configuration, request *apiv1.DrainRequest, context Context) *Problem {
	service := FindService(next, request.GetService())
	if service == nil {
		return NewProblem(CodeNotFound, "service", request.GetService(), "there is no such service",
			"list them with \"indigobarrow service list\"")
	}
	backend := FindBackend(service, request.GetBackend())
	if backend == nil {
		return NewProblem(CodeNotFound, "backend", request.GetBackend(), "service "+service.GetName()+" has no such back end",
			"list them with \"indigobarrow service get "+service.GetName()+"\"")
	}
	if request.GetLeaving() && remaining(service) == 1 && !backend.GetLeaving() {
		return invalid("backend", backend.GetName(), "is the last one that takes new flows",
			"add another back end first")
	}
	backend.Leaving = request.GetLeaving()
	if !request.GetLeaving() {
		// A mark that no node remembers any more had the next incarnation.
		backend.ClearedMark = max(backend.GetClearedMark()+1, context.MarkIncarnations[backend.GetId()])
	}
	return nil
}

func remaining(service *apiv1.Service) int {
	count := 0
	for _, backend := range service.GetBackends() {
		if !backend.GetLeaving() {
			count++
		}
	}
	return count
}

func putTeam(next *apiv1.Configuration, team *apiv1.Team) *Problem {
	if team.GetName() == "" {
		return invalid("name", "", "is missing", "name the team")
	}
	for _, known := range next.GetTeams() {
		if known.GetName() == team.GetName() {
			proto.Reset(known)
			proto.Merge(known, team)
			return nil
		}
	}
	next.Teams = append(next.Teams, proto.CloneOf(team))
	return nil
}

const hashSize = 32

func putToken(next *apiv1.Configuration, token *apiv1.Token) *Problem {
	if token.GetName() == "" || len(token.GetSha256()) != hashSize {
		return invalid("token", token.GetName(), "lacks a name or a hash of 32 bytes", "send the name and the SHA-256 of the token's text")
	}
	if token.GetRole() == apiv1.Role_ROLE_EDITOR && token.GetTeam() == "" {
		return invalid("team", "", "an editor belongs to a team", "name the team")
	}
	for _, known := range next.GetTokens() {
		if known.GetName() == token.GetName() {
			proto.Reset(known)
			proto.Merge(known, token)
			return nil
		}
	}
	next.Tokens = append(next.Tokens, proto.CloneOf(token))
	return nil
}

// checkLimits applies the limits of the team whose service is changed.
func checkLimits(next *apiv1.Configuration, request *apiv1.ChangeRequest, context Context) *Problem {
	name := request.GetPutService().GetTeam()
	for _, team := range next.GetTeams() {
		if team.GetName() != name {
			continue
		}
		services, backends := 0, 0
		for _, service := range next.GetServices() {
			if service.GetTeam() == name {
				services++
				backends += len(service.GetBackends())
			}
		}
		if over(services, team.GetMaximumServices()) {
			return limit("services", services, team)
		}
		if over(backends, team.GetMaximumBackends()) {
			return limit("backends", backends, team)
		}
		if recent := recentChanges(next, request.GetAuthor(), context.Now); over(recent+1, team.GetMaximumChangesPerMinute()) {
			return limit("changes a minute", recent+1, team)
		}
	}
	return nil
}

func over(count int, maximum uint32) bool {
	return maximum > 0 && count > int(maximum)
}

func limit(what string, count int, team *apiv1.Team) *Problem {
	return NewProblem(CodeLimit, "team", team.GetName(),
		fmt.Sprintf("would have %d %s, above its limit", count, what),
		"remove some, wait, or ask an administrator for a higher limit")
}

func recentChanges(next *apiv1.Configuration, author string, now time.Time) int {
	since := now.Add(-time.Minute).UnixMilli()
	count := 0
	for _, accepted := range next.GetChanges() {
		if accepted.GetAuthor() == author && accepted.GetUnixMilliseconds() > since {
			count++
		}
	}
	return count
}
