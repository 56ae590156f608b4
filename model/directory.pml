/*
 * The directory of a balancer: one entry of the store is written, removed and
 * written again while two balancers learn of it, from the store (whole, by its
 * changes, or by an old answer that comes late) and from each other. Package
 * internal/directory carries it.
 *
 * Property: a balancer whose revision is R holds the entry exactly as the store
 * held it at R; so it never goes back, and none keeps what is gone.
 */

#define LAST  4
#define NODES 2

#define NONE  0
#define ALIVE 1
#define GONE  2

byte newest;               /* the store's revision */
bool alive[6];             /* whether the entry exists at a revision */
byte changed[6];           /* the entry's own revision at a revision */

byte revision[NODES];      /* everything up to here is known */
byte state[NODES];
byte at[NODES];            /* the known entry's own revision */
bool inside[12];           /* node * 6 + r: r lies inside of a rise */

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

/* merge takes one change, as Directory.merge does. */
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

/* finish buries what a complete batch does not name, and rises. */
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
		:: atomic { /* a whole read */
			entry = (alive[newest] -> ALIVE : NONE);
			merge(n, entry, changed[newest], newest);
			finish(n, entry, newest, true);
			entry = 0; step = 0
		   }
		:: held == 0 -> held = newest /* a whole read whose answer is late */
		:: held != 0 -> atomic { /* the late answer */
			entry = (alive[held] -> ALIVE : NONE);
			merge(n, entry, changed[held], held);
			finish(n, entry, held, true);
			held = 0; entry = 0; step = 0
		   }
		:: atomic { /* the changes after what is known */
			entry = (alive[newest] -> ALIVE : GONE);
			if
			:: changed[newest] > revision[n] -> merge(n, entry, changed[newest], newest)
			:: else -> skip
			fi
			finish(n, NONE, newest, false);
			entry = 0; step = 0
		   }
		:: atomic { /* what the other one knows */
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
