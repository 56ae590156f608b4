/*
 * Fencing: three members; node 2 may be paused, be fenced by the others and
 * wake. Time is a common clock of ticks; LEASE is how long a confirmation of a
 * majority lets a node trust its view, and others fence only after LEASE +
 * MARGIN without a word from it.
 *
 * Property: when a node goes on without the fenced one, the fenced one does not
 * trust its old view.
 *
 * Node 2 is not fenced by its own silence alone: it wakes at any time, may
 * still win confirmations from those that have not learned of the fencing, and
 * a write that fences may take effect late.
 */

#define LEASE  2
#define MARGIN 1
#define LAST   9

byte clock;
byte heard[2];          /* when nodes 0 and 1 last heard node 2 */
byte confirmedTo[2];    /* when they last confirmed to it, +1; 0 is never */
byte until[2];          /* what node 2 holds from each: trusted until */
bool written;           /* the fencing document is in the store */
bool writing;
bool taken[2];          /* the document is taken by the node */
bool wentOn;            /* a node goes on without node 2 */

/* Node 2 with itself and one of the others is a majority of three. */
#define trusts (until[0] > clock || until[1] > clock)

bool seen[2];           /* the node has seen the document */

#ifdef NO_STOP
#define confirms(by) (true)
#else
#define confirms(by) (!seen[by])
#endif

#ifdef NO_HOLD_BACK
#define ranOut(me) (true)
#else
#define ranOut(me) (confirmedTo[me] == 0 || confirmedTo[me] - 1 + LEASE + MARGIN <= clock)
#endif

#ifdef NO_FENCE_KNOWN
#define fenceKnown (true)
#else
#define fenceKnown (taken[0] && taken[1])
#endif

inline confirm(by) {
	/* Node 2 greets, and the other confirms. */
	heard[by] = clock;
	if
	:: !confirms(by) -> skip
	:: confirms(by) ->
		confirmedTo[by] = clock + 1;
		until[by] = clock + LEASE
	fi
}

proctype Clock() {
	do
	:: clock < LAST -> clock++
	:: clock == LAST -> break
	od
}

proctype Member(byte me) {
	do
	/* Suspect, and write: the write may take effect at any later time. */
	:: atomic { !writing && heard[0] + LEASE + MARGIN < clock && heard[1] + LEASE + MARGIN < clock -> writing = true }
	:: atomic { writing && !written -> written = true }
	:: atomic { written && !seen[me] -> seen[me] = true }
	/* Take the document, when no confirmation given by this node holds. */
	:: atomic { seen[me] && !taken[me] && ranOut(me) -> taken[me] = true }
	/* Go on without node 2, when a majority (0 and 1) has taken it. */
	:: atomic { taken[me] && fenceKnown -> wentOn = true; assert(!trusts) }
	:: clock == LAST -> break
	od
}

/* Node 2 greets whenever it runs. */
proctype Paused() {
	do
	:: atomic { clock < LAST -> confirm(0) }
	:: atomic { clock < LAST -> confirm(1) }
	:: clock == LAST -> break
	od
}

/* Once the others have gone on, node 2 never trusts its old view again. */
proctype Observer() {
	do
	:: atomic { wentOn -> assert(!trusts) }
	:: clock == LAST -> break
	od
}

init {
	atomic {
		confirmedTo[0] = 1; until[0] = LEASE;
		confirmedTo[1] = 1; until[1] = LEASE;
		run Clock();
		run Member(0);
		run Member(1);
		run Paused();
		run Observer()
	}
}
