package core

// Guard identifies one of the safeguards that keep a flow on its back end.
// Disabling one serves only to show that it is necessary: a property test must
// fail without it.
type Guard uint16

const (
	// GuardWait makes a phase wait for all participants.
	GuardWait Guard = 1 << iota
	// GuardBind binds, at the keepers, the flows on which the rules differ.
	GuardBind
	// GuardEmbryonic records, before the pending epoch becomes active, the
	// flows whose SYN may be retransmitted.
	GuardEmbryonic
	// GuardRecord records displaced flows before flows without a record follow
	// the pending rule.
	GuardRecord
	// GuardFilter looks up flows that match a filter.
	GuardFilter
	// GuardReplicate makes a keeper confirm records at the other keeper.
	GuardReplicate
	// GuardContact keeps a node without contact from trusting its view.
	GuardContact
	// GuardPublish lets only a node in contact with a majority publish.
	GuardPublish
	// GuardRejoin makes a fenced node record its flows when it rejoins.
	GuardRejoin
)

// isDisabled reports whether a safeguard is disabled.
func (core *Core) isDisabled(guard Guard) bool { return core.config.Disabled&guard != 0 }
