/*
 * Which balancers are listed in the store. No lease holds an entry: who is not
 * listed, or not as it is, shows its entry to another one, which writes it some
 * time later; who is missed is removed some time later, if its entry is still the
 * one that was known. Balancers end, and start again at another address, at any
 * moment, also between a step and what it leads to. Package internal/replication
 * (members.go) carries it.
 *
 * Property: when nothing is left to be done, a balancer is listed if and only if
 * it lives, and at the address where it is.
 */

#define NODES 3
#define NOWHERE 0

byte address[NODES];       /* where it lives; NOWHERE: it does not */
byte starts[NODES];        /* each start has an address of its own */
byte listed[NODES];        /* the store: its address, NOWHERE: no entry */
byte revision[NODES];      /* the store: of the entry */
byte shown[NODES];         /* on the way to the store; NOWHERE: nothing */
byte missed[NODES];        /* 1 + the revision to remove; 0: none */
byte ends;

#define lives(a) (address[a] != NOWHERE)

#ifdef NO_COMPARE_ENTRY
#define asItIs(a) (listed[a] != NOWHERE)
#else
#define asItIs(a) (listed[a] == address[a])
#endif

#ifdef NO_SHOW_AGAIN
#define mayShow(a) (revision[a] == 0)
#else
#define mayShow(a) (true)
#endif

/* Each step is enabled only where it changes something, so that a run ends. */
proctype Balancer(byte a, other) {
	do
	:: atomic { /* it sees that it is not listed as it is */
		lives(a) && !asItIs(a) && mayShow(a) && shown[a] != address[a] ->
		shown[a] = address[a]
	   }
	:: atomic { /* another one writes what was shown, however late */
		lives(other) && shown[a] != NOWHERE ->
		if
		:: listed[a] != shown[a] -> listed[a] = shown[a]; revision[a]++
		:: else -> skip
		fi;
		shown[a] = NOWHERE
	   }
#ifndef NO_MISSING
	:: atomic { /* another one has not heard it for long */
		lives(other) && !lives(a) && listed[a] != NOWHERE && missed[a] == 0 ->
		missed[a] = revision[a] + 1
	   }
#endif
	:: atomic { /* the entry that was known is removed, however late */
		lives(other) && missed[a] != 0 ->
		if
		:: missed[a] == revision[a] + 1 && listed[a] != NOWHERE ->
			listed[a] = NOWHERE; revision[a]++
		:: else -> skip
		fi;
		missed[a] = 0
	   }
	od
}

proctype Trouble() {
	byte n;
	do
	:: atomic { ends < 4 ->
		ends++;
		select(n : 0 .. 2);
		if
		:: lives(n) -> address[n] = NOWHERE
		:: else -> starts[n]++; address[n] = starts[n]
		fi;
		n = 0
	   }
	:: break
	od
}

/* Judge looks when nothing else can be done. While only one lives, nobody misses
 * the others or writes for it. */
proctype Judge() {
	byte a;
	timeout;
	atomic {
		if
		:: lives(0) + lives(1) + lives(2) >= 2 ->
			for (a : 0 .. 2) { assert(listed[a] == address[a]) }
		:: else -> skip
		fi
	}
}

init {
	byte a;
	atomic {
		for (a : 0 .. 2) { starts[a] = 1; address[a] = 1 }
		a = 0;
		run Balancer(0, 1); run Balancer(0, 2);
		run Balancer(1, 0); run Balancer(1, 2);
		run Balancer(2, 0); run Balancer(2, 1);
		run Trouble();
		run Judge()
	}
}
