package change

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
)

func putService(next *apiv1.Configuration, service *apiv1.Service, context Environment) *Problem {
	if problem := checkService(next, service, context); problem != nil {
		return problem
	}
	wanted := proto.CloneOf(service)
	old := FindService(next, service.GetName())
	if problem := assignBackendIDs(next, old, wanted); problem != nil {
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

// assignBackendIDs gives new back ends their numbers and keeps those of known
// ones. A known back end may be left out only when it is leaving.
func assignBackendIDs(next *apiv1.Configuration, old, wanted *apiv1.Service) *Problem {
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

func checkService(next *apiv1.Configuration, service *apiv1.Service, context Environment) *Problem {
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
	if problem := checkReleasedAddress(next, service, context); problem != nil {
		return problem
	}
	if service.GetPolicy() != "" && FindPolicy(next, service.GetPolicy()) == nil {
		return invalid("policy", service.GetPolicy(), "there is no such policy", "create the policy first")
	}
	return checkBackends(service)
}

// checkReleasedAddress refuses an address that another service has left until every
// node has settled a configuration without it.
func checkReleasedAddress(next *apiv1.Configuration, service *apiv1.Service, context Environment) *Problem {
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

func drainSummary(request *apiv1.DrainRequest) string {
	verb := "drain"
	if !request.GetLeaving() {
		verb = "undrain"
	}
	return verb + " " + request.GetService() + "/" + request.GetBackend()
}

// drain sets or ends a drain. Draining a draining back end is no error.
func drain(next *apiv1.Configuration, request *apiv1.DrainRequest, context Environment) *Problem {
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
		// A mark that no node remembers any more had the next incarnation.
		backend.ClearedMark = max(backend.GetClearedMark()+1, context.MarkIncarnations[backend.GetId()])
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
