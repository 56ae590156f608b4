package balancer

import (
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// weigh gives the relative share of new flows that a back end takes.
func (control *control) weigh(_ directory.BackendEntry) uint32 {
	return rule.MaximumWeight
}
