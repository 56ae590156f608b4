/*
 * A balancer judges a zone as a whole: requests of clients to different back ends of it
 * stayed unanswered, here and at others, and nobody answers within the hold that one of
 * them lives. Some back ends of the zone may be dead and others live; the balancer's own
 * link may be full; a zone that is cut off from all others accuses them; the zone may
 * return with new back ends that hold no flow of the old ones. Another balancer of the
 * judge's zone sees the ones that live, if any does and can be reached. Package
 * internal/tokenroute (zone_verdict.go) carries it.
 *
 * Property: flows of back ends that live are reset only where their zone can't be
 * reached from the judge's zone either.
 */

#define LAST  8
#define DELAY 2            /* the longest way of a statement */
#ifdef NO_HOLD
#define HOLD  0
#else
#define HOLD  5            /* witnesses to the other balancer, and its answer back */
#endif

#define SILENT 1           /* the back end asked was dead or out of reach */
#define LINK   2           /* the judge's own link lost the requests */
#define ALIEN  3           /* the teller's zone is cut off from the accused one */

byte now = 1;
bool partDead, allDead, cut;   /* of the accused zone, cut from the judge's */
bool returned;
bool unasked;              /* all live, and nobody of the judge's zone asks one */
byte lifeSeen;             /* when the other balancer last saw one live */
byte lifeTold;             /* when the judge was told that one lived */

byte sentAt[2];            /* of the witnesses as they are known to the judge */
byte otherSentAt[2];       /* and to the other balancer */
byte dueJudge[2], dueOther[2], dueLife;
byte cause[2];
bool answered;
byte heldUntil;
bool judged;

#define min2(a, b) (a < b -> a : b)
#define knowsLife (!answered && otherSentAt[0] != 0 && otherSentAt[1] != 0 && lifeSeen > min2(otherSentAt[0], otherSentAt[1]))
#define overdue(d) (d != 0 && now >= d)

active proctype Time() {
	do
	:: atomic { now < LAST && !overdue(dueJudge[0]) && !overdue(dueJudge[1]) &&
		!overdue(dueOther[0]) && !overdue(dueOther[1]) && !overdue(dueLife) && !knowsLife ->
		/* Somebody of the judge's zone asks one that lives and can be reached. */
		if :: !allDead && !cut && !unasked -> lifeSeen = now :: else fi;
		now++ }
	:: now == LAST -> break
	od
}

active proctype Zone() {
	if
	:: atomic { partDead = true }
	:: atomic { partDead = true; allDead = true }
	:: atomic { cut = true }
	:: atomic { unasked = true }
	:: skip
	fi;
	if
	:: atomic { allDead -> allDead = false; returned = true }
	:: skip
	fi
}

proctype Witness(byte w) {
	byte began;
	atomic {
		began = now;
		if
		:: partDead || cut -> cause[w] = SILENT
		:: cause[w] = LINK
		:: cause[w] = ALIEN
		fi
	}
	now > began;
#ifndef NO_PROMPT
	/* Back ends outside the zone do not answer either. */
	if :: cause[w] == LINK -> goto done :: else fi;
#endif
#ifndef NO_ZONE
	/* It is told by a balancer that reaches the accused by another way. */
	if :: cause[w] == ALIEN -> goto done :: else fi;
#endif
	atomic { dueJudge[w] = now + DELAY; dueOther[w] = now + DELAY };
	do
	:: atomic { dueJudge[w] != 0 -> sentAt[w] = began; dueJudge[w] = 0 }
	:: atomic { dueOther[w] != 0 -> otherSentAt[w] = began; dueOther[w] = 0 }
	:: dueJudge[w] == 0 && dueOther[w] == 0 -> break
	od;
done:	skip
}

/* The other balancer answers as soon as it has as many witnesses as make a zone silent,
 * if it saw one that lived later than the first of them was sent. */
active proctype Other() {
	byte life;
	end: atomic { knowsLife ->
		life = lifeSeen; answered = true;
#ifndef NO_LIFE
		/* A full link of the judge loses the answer too. */
		if :: cause[0] != LINK && cause[1] != LINK -> dueLife = now + DELAY :: else fi
#endif
	};
	end2: atomic { dueLife != 0 -> lifeTold = life; dueLife = 0 }
}

#define speaks(w) (sentAt[w] != 0 && sentAt[w] > lifeTold)
#ifdef ONE_BACKEND
#define silent (speaks(0) || speaks(1))
#else
#define silent (speaks(0) && speaks(1))
#endif

active proctype Judge() {
	end: atomic { silent -> heldUntil = now + HOLD };
	end2: atomic { now >= heldUntil && !overdue(dueLife) && !knowsLife ->
		if
		:: silent -> judged = true;
			/* A part of the zone lives and can be reached: its flows would be reset. */
			assert(allDead || returned || cut)
		:: else
		fi }
}

init { atomic { run Witness(0); run Witness(1) } }
