/*
 * Address release: an address moves from service A to service B while one of
 * three nodes may be paused at any time and resume later.
 *
 * The move is accepted only after every member has settled the configuration
 * without the address. A paused node still applies its old rule when it resumes.
 *
 * Property: a packet meant for B never reaches a back end of A. A packet is
 * meant for the service that the address belongs to when the client sends it.
 */

#define NODES 3

mtype = { serviceA, released, serviceB };

mtype operators = serviceA;   /* the owner of the address in the accepted configuration */
mtype rule[NODES];            /* the rule that each node applies */
bool paused[NODES];
bool pauseUsed;

#ifdef NO_ACKNOWLEDGE
#define allReleased (true)
#else
#define allReleased (rule[0] == released && rule[1] == released && rule[2] == released)
#endif

proctype Operator() {
	operators = released;
	atomic { allReleased -> operators = serviceB }
}

proctype Node(byte me) {
	mtype meant;
	byte packets;
	do
	:: packets == 2 -> break
	:: atomic { !paused[me] && rule[me] == serviceA && operators != serviceA -> rule[me] = released }
	:: atomic { !paused[me] && rule[me] == released && operators == serviceB -> rule[me] = serviceB }
	:: atomic { !paused[me] && !pauseUsed -> paused[me] = true; pauseUsed = true }
	:: paused[me] -> paused[me] = false
	:: atomic { !paused[me] && packets < 2 ->
		packets++;
		meant = operators;
		if
		:: rule[me] == serviceA -> assert(meant != serviceB)
		:: rule[me] == serviceB -> assert(meant == serviceB)
		:: rule[me] == released -> skip /* the packet is refused */
		fi }
	od
}

init {
	atomic {
		rule[0] = serviceA;
		rule[1] = serviceA;
		rule[2] = serviceA;
		run Operator();
		run Node(0);
		run Node(1);
		run Node(2)
	}
}
