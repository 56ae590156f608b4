/*
 * How knowledge outlives its knowers in an outage of the store. Balancers are
 * killed and start again, at any moment and in any order, seeds included; links
 * between two of them are cut and heal; the store answers one of them at most.
 * Package internal/replication carries it.
 *
 * A balancer that knows nothing asks seeds, and those that called it. One whose
 * knowledge the store does not confirm asks everybody. One that the store
 * serves asks nobody, but calls those that it does not hear. Who is called by
 * one that knows more asks it back, which takes a step of its own: the caller
 * may die in between.
 *
 * Property: when nothing is left to be done, two balancers that live and reach
 * each other know the same.
 */

#define NODES 4
#define SEEDS 2
#define SERVED 3           /* the one that the store may answer */

byte revision[NODES];      /* 0: knows nothing */
bool alive[NODES];
byte hint[NODES];          /* 1 + who has shown to know more; 0: nobody */
bool caller[16];           /* a * NODES + b: b has called a */
bool cut[16];              /* a * NODES + b, both ways alike */
byte kills, cuts, answers;

#define linked(a, b) (alive[a] && alive[b] && !cut[a * NODES + b])
#define served(a)    (a == SERVED && answers != 0)

#ifdef NO_TELLING_BACK
#define showing(to, from) skip
#else
#define showing(to, from) \
	if \
	:: revision[from] > revision[to] && hint[to] == 0 -> hint[to] = from + 1 \
	:: else -> skip \
	fi
#endif

#ifdef NO_SEEKING
#define seeks(a) (false)
#else
#define seeks(a) (revision[a] != 0)
#endif

/* Each step is enabled only where it changes something, so that a run ends. */
proctype Link(byte a, b) {
	do
	:: atomic { /* a, which knows nothing, asks b */
		linked(a, b) && revision[a] == 0 && (b < SEEDS || caller[a * NODES + b]) &&
		(revision[b] != 0 || !caller[b * NODES + a]) ->
		if
		:: revision[b] != 0 -> revision[a] = revision[b]
		:: else -> caller[b * NODES + a] = true
		fi
	   }
	:: atomic { /* a, whose knowledge is stale, asks b */
		linked(a, b) && revision[a] != 0 && !served(a) &&
		(revision[b] > revision[a] || (revision[b] < revision[a] && hint[b] == 0)) ->
		if
		:: revision[b] > revision[a] -> revision[a] = revision[b]
		:: else -> showing(b, a)
		fi
#ifdef NO_TELLING_BACK
		; break /* it would ask for ever */
#endif
	   }
	:: atomic { /* a calls b, which it does not hear */
		linked(a, b) && seeks(a) && revision[b] < revision[a] && hint[b] == 0 ->
		showing(b, a)
#ifdef NO_TELLING_BACK
		; break
#endif
	   }
	:: atomic { /* a asks b, which has shown to know more */
		hint[a] == b + 1 ->
		hint[a] = 0;
		if
		:: linked(a, b) && revision[b] > revision[a] -> revision[a] = revision[b]
		:: else -> skip
		fi
	   }
	od
}

proctype Trouble() {
	byte n, m;
	do
	:: atomic { kills < 4 ->
		kills++;
		select(n : 0 .. 3);
		if
		:: alive[n] -> alive[n] = false; revision[n] = 0; hint[n] = 0;
			for (m : 0 .. 3) { caller[n * NODES + m] = false }
		:: else -> alive[n] = true
		fi;
		n = 0; m = 0
	   }
	:: atomic { cuts < 2 ->
		cuts++;
		cut[2 * NODES + 3] = !cut[2 * NODES + 3];
		cut[3 * NODES + 2] = cut[2 * NODES + 3]
	   }
	:: atomic { answers == 0 && alive[SERVED] && revision[SERVED] != 0 ->
		answers = 1;
		revision[SERVED] = 2
	   }
	:: break
	od
}

/* Judge looks when nothing else can be done. */
proctype Judge() {
	byte a, b;
	timeout;
	atomic {
		for (a : 0 .. 3) {
			for (b : 0 .. 3) {
				assert(!(linked(a, b)) || revision[a] == revision[b])
			}
		}
	}
}

init {
	byte a, b;
	atomic {
		for (a : 0 .. 3) { alive[a] = true; revision[a] = 1 }
		for (a : 0 .. 3) {
			for (b : 0 .. 3) {
				if
				:: a != b -> run Link(a, b)
				:: else -> skip
				fi
			}
		}
		a = 0; b = 0;
		run Trouble();
		run Judge()
	}
}
