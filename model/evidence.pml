/*
 * Two balancers report to a third balancer that a back end left their clients'
 * requests unanswered. The third balancer holds a flow of that back end that waits for
 * no response, and resets the flow because of the reports. Messages are delayed, links
 * fail, a zone is partitioned, and the back end stalls and resumes, or restarts at its
 * address under a new number. Packages internal/evidence and internal/tokenroute
 * implement this.
 *
 * Property: the flow is reset only because of requests of two clients that the same run
 * of the back end that holds the flow left unanswered itself, and only if nothing that
 * this run sent later had been acknowledged here.
 */

#define LAST 5

#define NONE    0
#define SENT    1
#define ARRIVED 2

#define SILENT 1           /* the back end was dead or stalled */
#define LINK   2           /* the balancer's own link lost the request */
#define CUT    3           /* the balancer's zone is partitioned from the zone of the back end */

byte now = 1;
bool dead, still;          /* state of the run that holds the flow */
byte proven;               /* when this run last responded to a client here */

byte state[2];             /* of the two unanswered requests */
byte cause[2];
byte client[2];
byte sentAt[2];            /* when the request was sent */
byte told[2];              /* the time of the request as the report gives it on arrival */
byte lateBy[2];
bool ofOtherRun[2];        /* the report is about the new run at the same address */

bool reset;

active proctype Backend() {
	do
	:: now < LAST -> atomic { now++ }
	:: atomic { !dead && !still -> still = true }
	:: atomic { still && !dead -> still = false }
	:: atomic { !dead -> dead = true }
	:: atomic { !dead && !still -> proven = now }   /* the back end responds here */
	:: now == LAST -> break
	od
}

proctype Witness(byte w) {
	byte began;
	/* The request and its two retransmissions span the time from began to now. */
	atomic { now < LAST -> began = now; if :: client[w] = 1 :: client[w] = 2 fi }
	if
	:: atomic { (dead || still) -> cause[w] = SILENT }
	:: cause[w] = LINK
	:: cause[w] = CUT
	:: atomic { dead -> ofOtherRun[w] = true; cause[w] = SILENT }
	fi;
	sentAt[w] = began;
#ifndef NO_PROMPT
	/* A balancer whose other back ends do not respond either reports nothing. */
	if :: cause[w] == LINK -> goto done :: else fi;
#endif
	state[w] = SENT;
	if :: lateBy[w] = 0 :: lateBy[w] = 1 :: lateBy[w] = 2 fi;
	atomic {
#ifdef NO_CLOCK
		/* An age counted from the arrival makes the unanswered request of a late message younger. */
		told[w] = sentAt[w] + lateBy[w];
#else
		told[w] = sentAt[w];
#endif
		state[w] = ARRIVED
	}
done:	skip
}

#ifdef NO_ZONE
#define counts(w) (state[w] == ARRIVED)
#else
#define counts(w) (state[w] == ARRIVED && cause[w] != CUT)
#endif

#ifdef NO_NUMBER
#define sameRun(w) (true)
#else
#define sameRun(w) (!ofOtherRun[w])
#endif

#ifdef NO_COMPARE_PROVEN
#define newer(w) (true)
#else
#define newer(w) (told[w] > proven)
#endif

#ifdef ONE_CLIENT
#define twoClients (true)
#else
#define twoClients (client[0] != client[1])
#endif

#define speaks(w) (counts(w) && sameRun(w) && newer(w))

active proctype Judge() {
	atomic {
		speaks(0) && speaks(1) && twoClients && !reset -> reset = true;
		assert(cause[0] == SILENT && cause[1] == SILENT);
		assert(!ofOtherRun[0] && !ofOtherRun[1]);
		assert(client[0] != client[1]);
		assert(sentAt[0] > proven && sentAt[1] > proven)
	}
}

init { atomic { run Witness(0); run Witness(1) } }
