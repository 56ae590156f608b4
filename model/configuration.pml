/*
 * Accepted changes: two operators concurrently change one configuration with
 * compare-and-swap writes to the store. The response to a write may be lost, and
 * a writer may be paused between its read and its write. Each operator retries
 * its operation with the same operation ID until it learns the outcome or gives
 * up.
 *
 * Properties: an operation is applied at most once; an accepted operation is
 * never lost; the revision never decreases.
 */

#define OPERATORS 2
#define TRIES     3

byte revision;
byte applied[OPERATORS];    /* stored configuration: how often it contains each operation */
bool accepted[OPERATORS];   /* the operator knows that its operation was accepted */

#ifdef NO_COMPARE
#define compare(read) (true)
#else
#define compare(read) (revision == read)
#endif

#ifdef NO_OPERATION_ID
#define recognised(count) (false)
#else
#define recognised(count) (count > 0)
#endif

proctype Operator(byte me) {
	byte read, tries;
	byte copy[OPERATORS];
	do
	:: accepted[me] || tries == TRIES -> break
	:: else ->
		tries++;
		atomic { read = revision; copy[0] = applied[0]; copy[1] = applied[1] }
		/* The writer may be paused here. */
		if
		:: recognised(copy[me]) -> accepted[me] = true
		:: else ->
			atomic {
				if
				:: compare(read) ->
					assert(read + 1 > revision);
					revision = read + 1;
					copy[me]++;
					applied[0] = copy[0];
					applied[1] = copy[1];
					assert(applied[me] <= 1);
					assert(!accepted[1 - me] || applied[1 - me] == 1);
					if
					:: true -> accepted[me] = true
					:: true -> skip /* the response is lost */
					fi
				:: else -> skip
				fi
			}
		fi
	od;
	assert(!accepted[me] || applied[me] == 1)
}

init { atomic { run Operator(0); run Operator(1) } }
