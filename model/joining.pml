/*
 * Joining: a node restarts without memory (node 2) while nodes 0 and 1 go on and
 * node 3, paused and fenced, is stale. A revision is in force once nodes 0 and
 * 1 know it. The joining node learns from whom it meets first, and trusts its
 * state only when a majority of the four has answered and none of the answers
 * showed the sender to be ahead.
 *
 * Property: a node that serves is not behind what is in force by more than the
 * step under way: the revision it joins at cannot be passed without it.
 */

#define LAST 3

byte known[4];
bool answered[4];
bool serves;        /* the joining node */
bool counted[2];    /* nodes 0 and 1 wait for it */
byte inForce;

#ifdef NO_MAJORITY
#define confirmed (answered[0] || answered[1] || answered[3])
#else
#define confirmed (answered[0] && answered[1] && answered[3])
#endif

#ifdef NO_BEHIND
#define ahead(peer) (false)
#else
#define ahead(peer) (known[peer] > known[2])
#endif

/* Nodes 0 and 1 take the next revision; it is in force when both, and a node
 * that either of them counts, have it. */
proctype Member(byte me) {
	do
	:: atomic { known[me] < LAST && known[me] == inForce -> known[me]++ }
	:: atomic { known[0] > inForce && known[1] > inForce &&
		(known[2] > inForce || !(counted[0] || counted[1])) -> inForce++;
		assert(!serves || known[2] >= inForce) }
	:: inForce == LAST -> break
	od
}

/* A greeting: the peer counts the joining node and answers how far it is. */
proctype Joining() {
	byte peer;
	do
	:: atomic {
		if
		:: peer = 0
		:: peer = 1
		:: peer = 3
		fi;
		if
#ifdef NO_COUNT
		:: false -> skip
#else
		:: peer < 2 -> counted[peer] = true
#endif
		:: else -> skip
		fi;
		if
		:: ahead(peer) -> known[2] = known[peer]
		:: else -> answered[peer] = true
		fi }
	/* News from peers, once they count it. */
	:: atomic { known[0] > known[2] && counted[0] -> known[2] = known[0] }
	:: atomic { known[1] > known[2] && counted[1] -> known[2] = known[1] }
	:: atomic { !serves && confirmed -> serves = true; assert(known[2] >= inForce) }
	:: inForce == LAST -> break
	od
}

init { atomic { run Member(0); run Member(1); run Joining() } }
