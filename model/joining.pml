/*
 * Joining: node 2 restarts without its state while nodes 0 and 1 keep running
 * and node 3, paused and fenced, is stale. A revision is in force once nodes 0
 * and 1 have it. The joining node takes its state from the first peer it
 * contacts, and trusts this state only after a majority of the four has
 * responded and no response showed that its sender was ahead.
 *
 * Property: a node that serves is behind the revision in force by at most the
 * step in progress: the members cannot pass the revision at which the node joins
 * unless the node has it too.
 */

#define LAST 3

byte known[4];
bool answered[4];
bool serves;        /* the joining node serves */
bool counted[2];    /* nodes 0 and 1 wait for the joining node */
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

/* Nodes 0 and 1 accept the next revision. It is in force once both of them have
 * it and, if either of them counts the joining node, that node has it too. */
proctype Member(byte me) {
	do
	:: atomic { known[me] < LAST && known[me] == inForce -> known[me]++ }
	:: atomic { known[0] > inForce && known[1] > inForce &&
		(known[2] > inForce || !(counted[0] || counted[1])) -> inForce++;
		assert(!serves || known[2] >= inForce) }
	:: inForce == LAST -> break
	od
}

/* On a greeting the peer counts the joining node and returns its own revision. */
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
	/* Peers send updates once they count the joining node. */
	:: atomic { known[0] > known[2] && counted[0] -> known[2] = known[0] }
	:: atomic { known[1] > known[2] && counted[1] -> known[2] = known[1] }
	:: atomic { !serves && confirmed -> serves = true; assert(known[2] >= inForce) }
	:: inForce == LAST -> break
	od
}

init { atomic { run Member(0); run Member(1); run Joining() } }
