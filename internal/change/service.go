package change

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
)

func putService(next *apiv1.Configuration, service *apiv1.Service, environment Environment) *Problem {
	if problem := checkService(next, service, environment); problem != nil {
		return problem
	}
	desired := proto.CloneOf(service)
	old := FindService(next, service.GetName())
	if problem := assignBackendIDs(next, old, desired); problem != nil {
		return problem
	}
	if old == nil {
		next.Services = append(next.Services, desired)
		return nil
	}
	if old.GetAddress() != desired.GetAddress() || old.GetPort() != desired.GetPort() {
		return invalid("address", desired.GetAddress(), "a service keeps its address for life",
			"create a second service, move the callers, then delete this one")
	}
	proto.Reset(old)
	proto.Merge(old, desired)
	return nil
}

// assignBackendIDs assigns IDs to new back ends and keeps those of existing ones. An
// existing back end may be omitted only when it is leaving.
func assignBackendIDs(next *apiv1.Configuration, old, desired *apiv1.Service) *Problem {
	for _, backend := range desired.GetBackends() {
		existing := FindBackend(old, backend.GetName())
		if existing != nil && existing.GetTunnelAddress() == backend.GetTunnelAddress() {
			backend.Id = existing.GetId()
			backend.Leaving = existing.GetLeaving()
			backend.ClearedMark = existing.GetClearedMark()
			continue
		}
		if existing != nil && !existing.GetLeaving() {
			return invalid("tunnel_address", backend.GetTunnelAddress(),
				"back end "+backend.GetName()+" has open flows at its old address",
				"drain it first, or add the machine under another name")
		}
		backend.Id = next.GetNextBackendId()
		next.NextBackendId++
	}
	for _, existing := range old.GetBackends() {
		if FindBackend(desired, existing.GetName()) == nil && !existing.GetLeaving() {
			return invalid("backends", existing.GetName(), "is in service and cannot be removed",
				"drain it, wait until its flows have ended, then remove it")
		}
	}
	return nil
}

func checkService(next *apiv1.Configuration, service *apiv1.Service, environment Environment) *Problem {
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
	if problem := checkReleasedAddress(next, service, environment); problem != nil {
		return problem
	}
	if service.GetPolicy() != "" && FindPolicy(next, service.GetPolicy()) == nil {
		return invalid("policy", service.GetPolicy(), "there is no such policy", "create the policy first")
	}
	return checkBackends(service)
}

// checkReleasedAddress rejects an address that another service has released until every
// node has settled a configuration without that service.
func checkReleasedAddress(next *apiv1.Configuration, service *apiv1.Service, environment Environment) *Problem {
	kept := next.GetReleasedAddresses()[:0:0]
	for _, released := range next.GetReleasedAddresses() {
		same := released.GetAddress() == service.GetAddress() && released.GetPort() == service.GetPort()
		free := environment.SettledRevision >= released.GetRevision()
		if same && !free && released.GetService() != service.GetName() {
			return NewProblem(CodeUnavailable, "address", service.GetAddress(),
				fmt.Sprintf("service %s has left it in revision %d, which not every node has confirmed; waiting for %v",
					released.GetService(), released.GetRevision(), environment.WaitingFor),
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

func drainSummary(request *apiv1.DrainRequest) string {
	verb := "drain"
	if !request.GetLeaving() {
		verb = "undrain"
	}
	return verb + " " + request.GetService() + "/" + request.GetBackend()
}

// drain starts or ends the draining of a back end. Draining a back end that is already
// draining is not an error.
func drain(next *apiv1.Configuration, request *apiv1.DrainRequest, environment Environment) *Problem {
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
	if request.GetLeaving() && countActiveBackends(service) == 1 && !backend.GetLeaving() {
		return invalid("backend", backend.GetName(), "is the last one that takes new flows",
			"add another back end first")
	}
	backend.Leaving = request.GetLeaving()
	if !request.GetLeaving() {
		// If no node remembers the leaving mark any more, its incarnation was the one after
		// the last cleared mark.
		backend.ClearedMark = max(backend.GetClearedMark()+1, environment.MarkIncarnations[backend.GetId()])
	}
	return nil
}

func countActiveBackends(service *apiv1.Service) int {
	count := 0
	for _, backend := range service.GetBackends() {
		if !backend.GetLeaving() {
			count++
		}
	}
	return count
}
