package change

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

func lendingService() *apiv1.Service {
	return &apiv1.Service{Name: "lending", Address: "10.200.0.1", Port: 80, Team: "library", Backends: []*apiv1.Backend{
		{Name: "lending-0", TunnelAddress: "127.0.0.1:6080"}, {Name: "lending-1", TunnelAddress: "127.0.0.2:6080"}}}
}

func putRequest(id string, service *apiv1.Service) *apiv1.ChangeRequest {
	return &apiv1.ChangeRequest{OperationId: id, Author: "amina", Change: &apiv1.ChangeRequest_PutService{PutService: service}}
}

func drainRequest(id, backend string, leaving bool) *apiv1.ChangeRequest {
	return &apiv1.ChangeRequest{OperationId: id, Author: "amina", Change: &apiv1.ChangeRequest_Drain{
		Drain: &apiv1.DrainRequest{Service: "lending", Backend: backend, Leaving: leaving}}}
}

func mustApply(t *testing.T, configuration *apiv1.Configuration, request *apiv1.ChangeRequest, made Environment) *apiv1.Configuration {
	next, problem := Apply(configuration, request, made)
	require.Nil(t, problem)
	return next
}

func TestApply(t *testing.T) {
	made := Environment{Now: time.Unix(1000, 0), MarkIncarnations: map[uint32]uint64{1: 4}}
	first := mustApply(t, nil, putRequest("one", lendingService()), made)
	require.Equal(t, uint64(1), first.GetRevision())
	require.Equal(t, uint32(1), first.GetServices()[0].GetBackends()[0].GetId())
	drained := mustApply(t, first, drainRequest("two", "lending-0", true), made)
	require.True(t, drained.GetServices()[0].GetBackends()[0].GetLeaving())
	require.False(t, first.GetServices()[0].GetBackends()[0].GetLeaving(), "the old configuration is not changed")
	back := mustApply(t, drained, drainRequest("three", "lending-0", false), made)
	require.Equal(t, uint64(4), back.GetServices()[0].GetBackends()[0].GetClearedMark())
	require.Equal(t, uint64(2), FindOperation(back, "two").GetRevision())
	require.Nil(t, FindOperation(back, "four"))
}

func TestProblems(t *testing.T) {
	made := Environment{Now: time.Unix(1000, 0)}
	base := mustApply(t, nil, putRequest("one", lendingService()), made)
	changed := func(edit func(*apiv1.Service)) *apiv1.ChangeRequest {
		service := lendingService()
		edit(service)
		return putRequest("x", service)
	}
	stale := drainRequest("x", "lending-0", true)
	stale.BaseRevision = 7
	cases := map[string]struct {
		request     *apiv1.ChangeRequest
		code, field string
	}{
		"no operation":     {drainRequest("", "lending-0", true), CodeInvalid, "operation_id"},
		"stale base":       {stale, CodeConflict, "base_revision"},
		"no change":        {&apiv1.ChangeRequest{OperationId: "x"}, CodeInvalid, "change"},
		"unknown service":  {&apiv1.ChangeRequest{OperationId: "x", Change: &apiv1.ChangeRequest_DeleteService{DeleteService: "no"}}, CodeNotFound, "service"},
		"unknown back end": {drainRequest("x", "no", true), CodeNotFound, "backend"},
		"bad address":      {changed(func(s *apiv1.Service) { s.Name, s.Address = "b", "10.200.0" }), CodeInvalid, "address"},
		"used address":     {changed(func(s *apiv1.Service) { s.Name = "b" }), CodeInvalid, "address"},
		"new address":      {changed(func(s *apiv1.Service) { s.Port = 81 }), CodeInvalid, "address"},
		"bad tunnel":       {changed(func(s *apiv1.Service) { s.Backends[0].TunnelAddress = "x" }), CodeInvalid, "backends.tunnel_address"},
		"moved tunnel":     {changed(func(s *apiv1.Service) { s.Backends[0].TunnelAddress = "127.0.0.9:1" }), CodeInvalid, "tunnel_address"},
		"twice the name":   {changed(func(s *apiv1.Service) { s.Backends[0].Name = "lending-1" }), CodeInvalid, "backends.name"},
		"removed":          {changed(func(s *apiv1.Service) { s.Backends = s.Backends[:1] }), CodeInvalid, "backends"},
		"unknown policy":   {changed(func(s *apiv1.Service) { s.Policy = "no" }), CodeInvalid, "policy"},
		"still serving":    {&apiv1.ChangeRequest{OperationId: "x", Change: &apiv1.ChangeRequest_DeleteService{DeleteService: "lending"}}, CodeInvalid, "service"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, problem := Apply(base, test.request, made)
			require.NotNil(t, problem)
			require.Equal(t, test.code, problem.GetCode())
			require.Equal(t, test.field, problem.GetField())
			require.NotEmpty(t, problem.GetRemedy())
		})
	}
}

func TestLastBackendCannotLeave(t *testing.T) {
	base := mustApply(t, nil, putRequest("one", lendingService()), Environment{})
	base = mustApply(t, base, drainRequest("two", "lending-0", true), Environment{})
	_, problem := Apply(base, drainRequest("three", "lending-1", true), Environment{})
	require.Equal(t, "is the last one that takes new flows", problem.GetMessage())
}

// TestReleasedAddressIsReusedOnlyWhenSettled: an address goes to another service only when every
// node has settled the configuration without it.
func TestReleasedAddressIsReusedOnlyWhenSettled(t *testing.T) {
	base := mustApply(t, nil, putRequest("one", lendingService()), Environment{})
	for _, backend := range base.GetServices()[0].GetBackends() {
		backend.Leaving = true
	}
	deletion := &apiv1.ChangeRequest{OperationId: "two", Change: &apiv1.ChangeRequest_DeleteService{DeleteService: "lending"}}
	released := mustApply(t, base, deletion, Environment{})
	covers := lendingService()
	covers.Name = "covers"
	_, problem := Apply(released, putRequest("three", covers), Environment{SettledRevision: 1, WaitingFor: []string{"giza-3"}})
	require.Equal(t, CodeUnavailable, problem.GetCode())
	require.Contains(t, problem.GetMessage(), "giza-3")
	mustApply(t, released, putRequest("three", covers), Environment{SettledRevision: 2})
}

func TestPolicyRollback(t *testing.T) {
	put := func(id, weight string) *apiv1.ChangeRequest {
		return &apiv1.ChangeRequest{OperationId: id, Change: &apiv1.ChangeRequest_PutPolicy{PutPolicy: &apiv1.Policy{Name: "p", Weight: weight}}}
	}
	back := &apiv1.ChangeRequest{OperationId: "back", Change: &apiv1.ChangeRequest_RollbackPolicy{RollbackPolicy: "p"}}
	base := mustApply(t, nil, put("one", "0.5"), Environment{})
	_, problem := Apply(base, back, Environment{})
	require.Equal(t, CodeNotFound, problem.GetCode())
	base = mustApply(t, mustApply(t, base, put("two", "0.6"), Environment{}), back, Environment{})
	require.Equal(t, "0.5", FindPolicy(base, "p").GetWeight())
	require.Equal(t, uint64(3), base.GetRevision())
}

func TestTeamLimits(t *testing.T) {
	team := &apiv1.ChangeRequest{OperationId: "t", Change: &apiv1.ChangeRequest_PutTeam{
		PutTeam: &apiv1.Team{Name: "library", MaximumServices: 1, MaximumBackends: 2, MaximumChangesPerMinute: 3}}}
	base := mustApply(t, nil, team, Environment{})
	base = mustApply(t, base, putRequest("one", lendingService()), Environment{Now: time.Unix(1000, 0)})
	second := lendingService()
	second.Name, second.Port = "second", 81
	_, problem := Apply(base, putRequest("two", second), Environment{Now: time.Unix(1000, 0)})
	require.Equal(t, CodeLimit, problem.GetCode())
}
