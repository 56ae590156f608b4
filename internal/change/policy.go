package change

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

func putPolicy(next *apiv1.Configuration, policy *apiv1.Policy, context Environment) *Problem {
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

// maxPolicyHistory bounds the replaced policies that are kept.
const maxPolicyHistory = 32

// replacePolicy puts a policy in place and keeps the one it replaces.
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
