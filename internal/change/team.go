package change

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

func putTeam(next *apiv1.Configuration, team *apiv1.Team) *Problem {
	if team.GetName() == "" {
		return invalid("name", "", "is missing", "name the team")
	}
	for _, existing := range next.GetTeams() {
		if existing.GetName() == team.GetName() {
			proto.Reset(existing)
			proto.Merge(existing, team)
			return nil
		}
	}
	next.Teams = append(next.Teams, proto.CloneOf(team))
	return nil
}

// tokenHashSize is the size of a SHA-256 hash in bytes.
const tokenHashSize = 32

func putToken(next *apiv1.Configuration, token *apiv1.Token) *Problem {
	if token.GetName() == "" || len(token.GetSha256()) != tokenHashSize {
		return invalid("token", token.GetName(), "lacks a name or a hash of 32 bytes", "send the name and the SHA-256 of the token's text")
	}
	if token.GetRole() == apiv1.Role_ROLE_EDITOR && token.GetTeam() == "" {
		return invalid("team", "", "an editor belongs to a team", "name the team")
	}
	for _, existing := range next.GetTokens() {
		if existing.GetName() == token.GetName() {
			proto.Reset(existing)
			proto.Merge(existing, token)
			return nil
		}
	}
	next.Tokens = append(next.Tokens, proto.CloneOf(token))
	return nil
}

// checkLimits enforces the limits of the team whose service is changed.
func checkLimits(next *apiv1.Configuration, request *apiv1.ChangeRequest, environment Environment) *Problem {
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
		if exceeds(services, team.GetMaximumServices()) {
			return limitProblem("services", services, team)
		}
		if exceeds(backends, team.GetMaximumBackends()) {
			return limitProblem("backends", backends, team)
		}
		if recent := recentChanges(next, request.GetAuthor(), environment.Now); exceeds(recent+1, team.GetMaximumChangesPerMinute()) {
			return limitProblem("changes a minute", recent+1, team)
		}
	}
	return nil
}

func exceeds(count int, maximum uint32) bool {
	return maximum > 0 && count > int(maximum)
}

func limitProblem(quantity string, count int, team *apiv1.Team) *Problem {
	return NewProblem(CodeLimit, "team", team.GetName(),
		fmt.Sprintf("would have %d %s, above its limit", count, quantity),
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
