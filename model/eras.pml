/*
 * Eras of the store: it loses what was written last when it comes back from a
 * copy, gives its numbers out again in another era, and shows an older version
 * of the configuration until the operator has written the latest one again. Two
 * balancers learn of it from the store (whole, late, or by its changes) and from
 * each other. Packages internal/revision and internal/directory carry it.
 *
 * Property: no balancer goes back to an older version; and who has read a store
 * that has the latest version, whole or by its changes, has that.
 */

#define ERAS     2
#define NUMBERS  2
#define VERSIONS 2
#define NODES    2

byte era, number;          /* the store's */
byte version, changed;     /* its configuration, and at which number that was written */
byte latest;               /* the version that the operator was told is in the store */
byte copied, copiedVersion, copiedChanged;

byte known[NODES];         /* everything up to here is known, joined */
byte has[NODES];           /* the version in force */
byte at[NODES];            /* the revision of it, joined */

#ifdef NO_ERA
#define joined(e, n) (n)
#define eraOf(r) (0)
#else
#define joined(e, n) ((e) * 16 + (n))
#define eraOf(r) ((r) / 16)
#endif
#define numberOf(r) ((r) % 16)

#ifdef NO_VERSION
#define reverts(n, v) (false)
#else
#define reverts(n, v) (v < has[n])
#endif

#ifdef NO_WATCH_ERA
#define sameEra(n) (true)
#else
#define sameEra(n) (eraOf(known[n]) == eraOf(joined(era, number)))
#endif

#define past(n, r) (eraOf(r) < eraOf(known[n]))

/* take merges the configuration as of a batch, as Directory.Apply does. */
inline take(n, v, own, batch) {
	before = has[n];
	if
	:: past(n, batch) || own <= at[n] -> skip
	:: else ->
		at[n] = own;
		if
		:: reverts(n, v) -> skip
		:: else -> has[n] = v
		fi
	fi
	if
	:: batch > known[n] -> known[n] = batch
	:: else -> skip
	fi
	assert(has[n] >= before)
}

/* isCurrent holds after a balancer has read the store as it is. */
inline isCurrent(n) { assert(version != latest || has[n] == latest) }

active proctype Store() {
	do
	:: atomic { number < NUMBERS && latest < VERSIONS ->
		number++; latest++; version = latest; changed = number }
	:: atomic { number < NUMBERS -> number++ /* another entry */ }
	:: atomic { number < NUMBERS && version < latest ->
		number++; version = latest; changed = number /* what is lost is written again */ }
	:: atomic { copied == 0 -> copied = number; copiedVersion = version; copiedChanged = changed }
	:: atomic { era < ERAS ->
		era++; number = copied; version = copiedVersion; changed = copiedChanged }
	:: break
	od
}

proctype Node(byte n) {
	byte other = 1 - n;
	byte tries, before;
	byte heldBatch, heldVersion, heldChanged;
	do
	:: tries < 2 ->
		tries++;
		if
		:: atomic { /* a whole read */
			take(n, version, joined(era, changed), joined(era, number));
			isCurrent(n); before = 0
		   }
		:: atomic { /* a whole read whose answer is late */
			heldBatch = joined(era, number); heldVersion = version; heldChanged = joined(era, changed)
		   }
		:: atomic { heldBatch != 0 ->
			take(n, heldVersion, heldChanged, heldBatch);
			heldBatch = 0; heldVersion = 0; heldChanged = 0; before = 0
		   }
		:: atomic { known[n] != 0 && sameEra(n) -> /* the changes after what is known */
			if
			:: changed > numberOf(known[n]) -> take(n, version, joined(era, changed), joined(era, number))
			:: else -> take(n, has[n], at[n], joined(era, number))
			fi;
			isCurrent(n); before = 0
		   }
		:: atomic { /* what the other one knows */
			if
			:: at[other] > known[n] -> take(n, has[other], at[other], known[other])
			:: else -> take(n, has[n], at[n], known[other])
			fi;
			before = 0
		   }
		fi
	:: else -> break
	od
}

init {
	atomic { run Node(0); run Node(1) }
}
