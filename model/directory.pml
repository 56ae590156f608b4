/*
 * The directory of a balancer: one entry of the store is written, removed and
 * written again while two balancers receive it from the store (by a full read, by
 * its changes, or by an old response that arrives late) and from each other.
 * Package internal/directory implements this.
 *
 * Property: a balancer whose revision is R holds the entry exactly as the store
 * held it at R. It therefore never reverts to an older state, and no balancer keeps
 * a removed entry.
 */

#define LAST  4
#define NODES 2

#define NONE  0
#define ALIVE 1
#define GONE  2

byte newest;               /* the store's revision */
bool alive[6];             /* whether the entry exists at a revision */
byte changed[6];           /* the entry's own revision at a revision */

byte revision[NODES];      /* the balancer has every change up to this revision */
byte state[NODES];
byte at[NODES];            /* own revision of the entry that the balancer has */
bool inside[12];           /* node * 6 + r: the node's revision increased past r without stopping there */

#ifdef NO_LATE
#define isLate(n, r) (false)
#else
#define isLate(n, r) (r < revision[n])
#endif

#ifdef NO_BETWEEN
#define needsAll(m, after) (after == 0)
#else
#define needsAll(m, after) (after == 0 || inside[m * 6 + after])
#endif

#ifdef NO_COMPARE
#define older(n, r) (false)
#else
#define older(n, r) (r <= at[n])
#endif

#ifdef NO_TOMBSTONE_RULE
#define names(st) (st != NONE)
#else
#define names(st) (st == ALIVE)
#endif

/* merge applies one change, as Directory.merge does. */
inline merge(n, st, own, batch) {
	if
	:: st == NONE -> skip
	:: st == ALIVE && state[n] != ALIVE && isLate(n, batch) -> skip
	:: else ->
		if
		:: state[n] == NONE -> state[n] = st; at[n] = own
		:: state[n] != NONE && !older(n, own) -> state[n] = st; at[n] = own
		:: else -> skip
		fi
	fi
}

/* finish makes a tombstone of an entry that a complete batch does not contain, and
 * increases the revision. */
inline finish(n, st, batch, complete) {
	if
	:: complete && !names(st) && state[n] == ALIVE && at[n] <= batch -> state[n] = GONE; at[n] = batch
	:: else -> skip
	fi
	if
	:: batch > revision[n] ->
		step = revision[n] + 1;
		do
		:: step < batch -> inside[n * 6 + step] = true; step++
		:: else -> break
		od
		revision[n] = batch
	:: else -> skip
	fi
	assert((state[n] == ALIVE) == alive[revision[n]]);
	assert(state[n] != ALIVE || at[n] == changed[revision[n]])
}

active proctype Store() {
	do
	:: newest < LAST ->
		atomic {
			newest++;
			alive[newest] = alive[newest - 1];
			changed[newest] = changed[newest - 1];
			if
			:: alive[newest] = true; changed[newest] = newest
			:: alive[newest] -> alive[newest] = false; changed[newest] = newest
			:: skip     /* another entry changed */
			fi
		}
	:: else -> break
	od
}

proctype Node(byte n) {
	byte other = 1 - n;
	byte held, entry, step, tries;
	bool all;
	do
	:: tries < 4 ->
		tries++;
		if
		:: atomic { /* a full read */
			entry = (alive[newest] -> ALIVE : NONE);
			merge(n, entry, changed[newest], newest);
			finish(n, entry, newest, true);
			entry = 0; step = 0
		   }
		:: held == 0 -> held = newest /* a full read whose response is late */
		:: held != 0 -> atomic { /* the late response */
			entry = (alive[held] -> ALIVE : NONE);
			merge(n, entry, changed[held], held);
			finish(n, entry, held, true);
			held = 0; entry = 0; step = 0
		   }
		:: atomic { /* the changes after the revision of the balancer */
			entry = (alive[newest] -> ALIVE : GONE);
			if
			:: changed[newest] > revision[n] -> merge(n, entry, changed[newest], newest)
			:: else -> skip
			fi
			finish(n, NONE, newest, false);
			entry = 0; step = 0
		   }
		:: atomic { /* what the other balancer has */
			all = needsAll(other, revision[n]);
			entry = state[other];
			if
			:: all || at[other] > revision[n] -> skip
			:: else -> entry = NONE
			fi
			merge(n, entry, at[other], revision[other]);
			finish(n, entry, revision[other], all);
			entry = 0; step = 0; all = false
		   }
		fi
	:: else -> break
	od
}

init {
	atomic { run Node(0); run Node(1) }
}
