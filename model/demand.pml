/*
 * A balancer lends its part of the picture of demand to one of two others, each of which
 * adds it to its own and lends the sum to a third one. The balancer moves from one to
 * the other, starts anew without knowing what it lent, reports twice and vanishes;
 * messages are late, lost and doubled. Package internal/demand carries it.
 *
 * Property: at no moment does the third one count the part by both ways, and nobody counts
 * it longer than a lease after it vanished.
 */

#define LEASE  3
#define REST   2           /* what a part must have left to go into a sum, and the lease of that */
#define NOBODY 2

/* All times are what is left of them, in steps of the clock. */

/* The owner of the part. */
bool gone;
byte goneLeft;             /* until nobody may count it */
byte lender = NOBODY, lentLeft, startLeft;
bool started;

/* By way: the report under way, 0 for none, and what the middle one holds. */
byte told[2], held[2];
/* The sum under way, and what the last one holds of the part by it. */
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
/* A lease that runs from the arrival outlasts what the owner knows. */
#define left(message) (LEASE)
#else
#define left(message) (message)
#endif

proctype Middle(byte way) {
	do
	:: atomic { told[way] != 0 -> held[way] = left(told[way]); told[way] = 0 }
	:: atomic { told[way] != 0 -> held[way] = left(told[way]) }    /* it comes once more */
	:: told[way] = 0                                              /* it is lost */
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
