package core

// Guard is one of the mechanisms that keep flows whole. Removing one is for
// proofs only: a property test must fail without it.
type Guard uint16

const (
	// GuardWait: a phase waits for all participants.
	GuardWait Guard = 1 << iota
	// GuardBind: flows on which the rules differ are bound at the keepers.
	GuardBind
	// GuardEmbryonic: flows whose SYN may come again are recorded first.
	GuardEmbryonic
	// GuardRecord: displaced flows are recorded before the default flips.
	GuardRecord
	// GuardFilter: flows in the filters are asked about.
	GuardFilter
	// GuardReplicate: a keeper confirms records at the other one.
	GuardReplicate
	// GuardContact: a node without contact does not trust its view.
	GuardContact
	// GuardPublish: only a node in contact with a majority publishes.
	GuardPublish
	// GuardRejoin: a fenced node that joins again records its flows.
	GuardRejoin
)

// isDisabled reports whether a guard has been removed.
func (core *Core) isDisabled(guard Guard) bool { return core.config.Disabled&guard != 0 }
