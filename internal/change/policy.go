package change

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

func putPolicy(next *apiv1.Configuration, policy *apiv1.Policy, environment Environment) *Problem {
	if policy.GetName() == "" {
		return invalid("name", "", "is missing", "name the policy")
	}
	if environment.CheckPolicy != nil {
		if err := environment.CheckPolicy(policy); err != nil {
			return invalid("policy", policy.GetName(), err.Error(), "mend the expression; \"indigobarrow policy check\" tries it")
		}
	}
	replacePolicy(next, policy)
	return nil
}

// maxPolicyHistory bounds the replaced policies that are kept for a rollback.
const maxPolicyHistory = 32

// replacePolicy stores a policy and moves the one it replaces to the history.
func replacePolicy(next *apiv1.Configuration, policy *apiv1.Policy) {
	old := FindPolicy(next, policy.GetName())
	if old == nil {
		next.Policies = append(next.Policies, proto.CloneOf(policy))
		return
	}
	next.PolicyHistory = append(next.PolicyHistory, proto.CloneOf(old))
	if excess := len(next.GetPolicyHistory()) - maxPolicyHistory; excess > 0 {
		next.PolicyHistory = next.GetPolicyHistory()[excess:]
	}
	proto.Reset(old)
	proto.Merge(old, policy)
}

// rollbackPolicy restores the policy that the current one has replaced. A rollback is a
// change like any other, with a revision of its own.
func rollbackPolicy(next *apiv1.Configuration, name string) *Problem {
	history := next.GetPolicyHistory()
	for index := len(history) - 1; index >= 0; index-- {
		if history[index].GetName() == name {
			next.PolicyHistory = append(history[:index:index], history[index+1:]...)
			replacePolicy(next, history[index])
			return nil
		}
	}
	return NewProblem(CodeNotFound, "policy", name, "no earlier version of it is kept",
		"apply the version you want from a file")
}
