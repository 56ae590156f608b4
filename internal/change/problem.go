package change

import (
	"fmt"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// The codes of a Problem.
const (
	CodeInvalid      = "invalid"
	CodeConflict     = "conflict"
	CodeNotFound     = "not_found"
	CodeForbidden    = "forbidden"
	CodeUnauthorized = "unauthorized"
	CodeLimit        = "limit"
	CodeUnavailable  = "unavailable"
	CodeUnknown      = "unknown"
)

// Problem is an error that is shown to an operator. It names the field, the value and
// the remedy.
type Problem struct {
	*apiv1.Problem
}

// Error returns the problem as one line of text.
func (problem *Problem) Error() string {
	if problem.GetField() == "" {
		return fmt.Sprintf("%s; %s", problem.GetMessage(), problem.GetRemedy())
	}
	return fmt.Sprintf("%s = %q: %s; %s",
		problem.GetField(), problem.GetValue(), problem.GetMessage(), problem.GetRemedy())
}

// NewProblem returns a Problem with the given code and texts.
func NewProblem(code, field, value, message, remedy string) *Problem {
	return &Problem{&apiv1.Problem{Code: code, Field: field, Value: value, Message: message, Remedy: remedy}}
}

func invalid(field, value, message, remedy string) *Problem {
	return NewProblem(CodeInvalid, field, value, message, remedy)
}
