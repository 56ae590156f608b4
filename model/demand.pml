/*
 * A balancer lends its contribution to the demand aggregate to one of two other
 * balancers. Each of these adds it to its own and lends the sum to a third balancer.
 * The first balancer switches from one to the other, restarts without knowing what it
 * lent, reports twice and disappears. Messages are delayed, lost and duplicated.
 * Package internal/demand implements this protocol.
 *
 * Property: the third balancer never counts the contribution over both paths at once, and
 * no balancer counts it for longer than a lease after its owner disappeared.
 */

#define LEASE  3
#define REST   2           /* the time that a contribution must have left to enter a sum, and the lease of that sum */
#define NOBODY 2

/* All times are remaining times, in steps of the clock. */

/* The owner of the contribution. */
bool gone;
byte goneLeft;             /* the time after which no balancer may count the contribution */
byte lender = NOBODY, lentLeft, startLeft;
bool started;

/* Per path: the report in transit, 0 for none, and what the middle balancer holds. */
byte told[2], held[2];
/* Per path: the sum in transit, and what the last balancer holds of the contribution through it. */
bool summed[2];
byte sum[2], counted[2];

inline pass(left) { if :: left > 0 -> left-- :: else fi }

#ifdef NO_END
#define end(left) skip
#else
#define end(left) pass(left)
#endif

active proctype Clock() {
	do
	:: atomic {
		pass(goneLeft); pass(lentLeft); pass(startLeft);
		pass(told[0]); pass(told[1]); pass(sum[0]); pass(sum[1]);
		end(held[0]); end(held[1]); end(counted[0]); end(counted[1])
	   }
	od
}

#ifdef NO_WAIT
#define free(way) (true)
#else
#define free(way) (lender == way || lentLeft == 0)
#endif

proctype Owner(byte way) {
	do
	:: atomic { !gone && startLeft == 0 && free(way) && told[way] == 0 ->
		lender = way; lentLeft = LEASE; told[way] = LEASE
	   }
	:: atomic { !gone && !started ->
		started = true; lender = NOBODY; lentLeft = 0;
#ifndef NO_START_WAIT
		startLeft = LEASE
#endif
	   }
	:: atomic { !gone -> gone = true; goneLeft = LEASE }
	od
}

#ifdef NO_CLOCK
/* A lease that starts at the arrival lasts longer than the owner assumes. */
#define left(message) (LEASE)
#else
#define left(message) (message)
#endif

proctype Middle(byte way) {
	do
	:: atomic { told[way] != 0 -> held[way] = left(told[way]); told[way] = 0 }
	:: atomic { told[way] != 0 -> held[way] = left(told[way]) }    /* the report is duplicated */
	:: told[way] = 0                                              /* the report is lost */
	:: atomic { !summed[way] ->
		summed[way] = true;
#ifdef NO_REST
		sum[way] = (held[way] > 0 -> REST : 0)
#else
		sum[way] = (held[way] >= REST -> REST : 0)
#endif
	   }
	od
}

proctype Last(byte way) {
	do
	:: atomic { summed[way] -> counted[way] = (sum[way] == 0 -> 0 : left(sum[way])); summed[way] = false }
	:: summed[way] = false
	od
}

active proctype Watch() {
	do
	:: atomic { counted[0] > 0 && counted[1] > 0 -> assert(false) }
	:: atomic { gone && goneLeft == 0 && (counted[0] > 0 || counted[1] > 0 || held[0] > 0 || held[1] > 0) -> assert(false) }
	od
}

init { atomic { run Owner(0); run Owner(1); run Middle(0); run Middle(1); run Last(0); run Last(1) } }
