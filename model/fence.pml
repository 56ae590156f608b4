/*
 * Fencing: of three members, node 2 may be paused, be fenced by the others and
 * resume. Time is a common clock in ticks. LEASE is the time for which a
 * confirmation by a majority lets a node trust its view. The other nodes fence a
 * node only after they have received no message from it for LEASE + MARGIN.
 *
 * Property: when a node continues without the fenced node, the fenced node does
 * not trust its old view.
 *
 * A lack of messages from node 2 does not fence it by itself: it resumes at any
 * time and may still get confirmations from nodes that have not learned of the
 * fencing, and a write that fences it may take effect late.
 */

#define LEASE  2
#define MARGIN 1
#define LAST   9

byte clock;
byte heard[2];          /* when nodes 0 and 1 last received a message from node 2 */
byte confirmedTo[2];    /* when nodes 0 and 1 last confirmed to node 2, plus 1; 0 means never */
byte until[2];          /* the time until which node 2 trusts the confirmation of each */
bool written;           /* the fencing document is in the store */
bool writing;
bool taken[2];          /* the node has applied the document */
bool wentOn;            /* a node continues without node 2 */

/* Node 2 and one other node are a majority of three. */
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
	/* Node 2 sends a greeting, and the other node confirms it. */
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
	/* The node suspects node 2 and writes; the write may take effect at any later time. */
	:: atomic { !writing && heard[0] + LEASE + MARGIN < clock && heard[1] + LEASE + MARGIN < clock -> writing = true }
	:: atomic { writing && !written -> written = true }
	:: atomic { written && !seen[me] -> seen[me] = true }
	/* The node applies the document once no confirmation that it gave is valid. */
	:: atomic { seen[me] && !taken[me] && ranOut(me) -> taken[me] = true }
	/* The node continues without node 2 once a majority (0 and 1) has applied the document. */
	:: atomic { taken[me] && fenceKnown -> wentOn = true; assert(!trusts) }
	:: clock == LAST -> break
	od
}

/* Node 2 sends greetings whenever it runs. */
proctype Paused() {
	do
	:: atomic { clock < LAST -> confirm(0) }
	:: atomic { clock < LAST -> confirm(1) }
	:: clock == LAST -> break
	od
}

/* Once the others have continued without it, node 2 never trusts its old view again. */
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
