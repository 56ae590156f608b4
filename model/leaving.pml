/*
 * Leaving marks during a store outage: the settled back end (1) of one flow has
 * been marked as leaving. The rule without this back end chooses back end 2.
 *
 * Each of two nodes receives the mark (state 1) at its own time, records the
 * flows opened at the node whose SYN may be retransmitted, and applies the mark
 * (state 2) once both nodes have done so. This condition models the time bound:
 * within the bound, both nodes in contact have received the mark.
 *
 * Properties: the flow has one back end; a node that applies the mark opens no
 * new flow at the leaving back end.
 */

#define NODES 2
#define MARKED 1
#define OTHER  2

byte state[NODES];
bool recorded[NODES];
byte table[NODES];
bool opener[NODES];
bool deciding[NODES];
byte record;
byte holder;
byte syns, datas;

inline deliver(backend, opens) {
	if
	:: holder == 0 && opens -> holder = backend
	:: holder != 0 -> assert(holder == backend)
	:: else -> skip
	fi
}

#ifdef NO_WAIT
#define allRecorded (true)
#else
#define allRecorded (recorded[0] && recorded[1])
#endif

proctype Node(byte me) {
	byte chosen, proposal;
	bool opens, asks, heeds;
	do
	:: atomic { state[me] == 0 -> state[me] = 1 }
	:: atomic { state[me] == 1 && !recorded[me] && !deciding[me] ->
#ifndef NO_EMBRYONIC
		if
		:: opener[me] && table[me] != 0 && record == 0 -> record = table[me]
		:: else -> skip
		fi;
#endif
		recorded[me] = true }
	:: atomic { state[me] == 1 && recorded[me] && allRecorded -> state[me] = 2 }
	:: atomic { !deciding[me] && (syns < 3 || (holder != 0 && datas < 2)) ->
		if
		:: syns < 3 -> syns++; opens = true
		:: holder != 0 && datas < 2 -> datas++; opens = false
		fi;
		deciding[me] = true;
		asks = false;
		heeds = (state[me] == 2);
		if
		:: table[me] != 0 -> chosen = table[me]
		:: table[me] == 0 && state[me] == 0 -> chosen = MARKED
		:: table[me] == 0 && state[me] > 0 ->
			asks = true;
			if
			:: opens && state[me] == 2 -> proposal = OTHER
			:: else -> proposal = MARKED
			fi;
#ifdef NO_BIND
			asks = !opens;
			chosen = proposal;
#endif
		fi }
	:: atomic { deciding[me] && asks ->
		if
		:: record == 0 -> record = proposal
		:: else -> skip
		fi;
		chosen = record;
		asks = false }
	:: atomic { deciding[me] && !asks ->
		/* A flow that is new at every node must not go to the marked back end. */
		assert(!(heeds && opens && table[me] == 0 && holder == 0 && record == OTHER && chosen == MARKED));
		if
		:: table[me] == 0 -> table[me] = chosen; opener[me] = opens
		:: else -> chosen = table[me]
		fi;
		deliver(chosen, opens);
		deciding[me] = false }
	:: syns == 3 && datas == 2 && !deciding[me] -> break
	od
}

init { atomic { run Node(0); run Node(1) } }
