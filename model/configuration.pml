/*
 * Accepted changes: two operators race to change one configuration through the
 * store's compare-and-swap. The answer to a write may be lost; a writer may be
 * paused between reading and writing; each repeats its operation, under the
 * same operation ID, until it knows its fate or gives up.
 *
 * Properties: an operation is applied at most once; an accepted one is never
 * lost; the revision never goes back.
 */

#define OPERATORS 2
#define TRIES     3

byte revision;
byte applied[OPERATORS];    /* the stored configuration: operations it holds */
bool accepted[OPERATORS];   /* the operator was told so */

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
		/* The pause may be here. */
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
					:: true -> skip /* the answer is lost */
					fi
				:: else -> skip
				fi
			}
		fi
	od;
	assert(!accepted[me] || applied[me] == 1)
}

init { atomic { run Operator(0); run Operator(1) } }
