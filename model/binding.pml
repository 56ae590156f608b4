/*
 * Flow binding: one flow on which the settled and the pending rule differ.
 *
 * Two nodes pass through the phases none (0), learned (1), active (2), flipped
 * (3) and settled (4), each at its own time. Two keepers hold the record. SYNs
 * may come again through any node, data through any node; one node and one
 * keeper may die at any time. Decisions take two steps, so that phases may
 * change in between.
 *
 * Property: every packet of the flow reaches the back end that first accepted
 * it, unless the only node that knew the flow died before anyone else did
 * (lost). Each guard has a switch that removes it; see check.sh.
 */

#define NODES   2
#define SETTLED 1   /* back end of the settled rule */
#define PENDING 2   /* back end of the pending rule */

#ifndef SYNS
#define SYNS 2
#endif
#ifndef DATAS
#define DATAS 2
#endif

byte phase[NODES];
byte done[NODES];       /* completed phase */
byte table[NODES];      /* back end in the node's own table, 0 is none */
bool opener[NODES];     /* the node saw the SYN */
bool dead[NODES];
bool filter[NODES];     /* the node's filter names the flow */
bool deciding[NODES];   /* a decision of the traffic goroutine is under way */

byte record[2];         /* the keepers' records */
bool keeperDead[2];

byte holder;            /* the back end that accepted the flow */
bool lost;
bool aged;              /* the SYN will not come again */
byte syns, datas;
bool deathUsed, keeperDeathUsed;

inline bind(proposal, result) {
	/* Asks the first keeper alive; it confirms at the other one first. */
	if
	:: !keeperDead[0] && record[0] != 0 -> result = record[0]
	:: !keeperDead[0] && record[0] == 0 && !keeperDead[1] && record[1] != 0 ->
		record[0] = record[1]; result = record[0]
	:: !keeperDead[0] && record[0] == 0 && (keeperDead[1] || record[1] == 0) ->
		record[0] = proposal;
#ifndef NO_REPLICATE
		if
		:: !keeperDead[1] -> record[1] = proposal
		:: else -> skip
		fi;
#endif
		result = proposal
	:: keeperDead[0] && record[1] != 0 -> result = record[1]
	:: keeperDead[0] && record[1] == 0 -> record[1] = proposal; result = proposal
	fi
}

inline store(backend) {
	/* An offer: a record that is there already stays. */
	if
	:: !keeperDead[0] && record[0] == 0 -> record[0] = backend
	:: else -> skip
	fi;
	if
	:: !keeperDead[1] && record[1] == 0 -> record[1] = backend
	:: else -> skip
	fi
}

inline deliver(backend, opens) {
	if
	:: lost -> skip
	:: !lost && holder == 0 && opens -> holder = backend
	:: !lost && holder != 0 -> assert(holder == backend)
	:: else -> skip
	fi
}

/* Whether the other node is dead or has completed a phase. */
#ifdef NO_WAIT
#define others(me, p) (true)
#else
#define others(me, p) (dead[1 - me] || done[1 - me] >= p)
#endif

#ifdef NO_QUIESCE
#define quiet(me) (true)
#else
#define quiet(me) (!deciding[me])
#endif

proctype Node(byte me) {
	byte chosen, proposal;
	bool opens, asks;
	do
	:: dead[me] -> break

	/* The next phase, when everyone has completed this one. */
	:: atomic { !dead[me] && phase[me] == 0 -> phase[me] = 1 }
	:: atomic { !dead[me] && phase[me] > 0 && phase[me] < 4 && done[me] == phase[me] && others(me, phase[me]) ->
		phase[me] = phase[me] + 1 }

	/* The duties of the phases. They wait for decisions under older views. */
	:: atomic { !dead[me] && phase[me] == 1 && done[me] == 0 && quiet(me) ->
#ifndef NO_EMBRYONIC
		if
		:: opener[me] && table[me] != 0 && !aged -> store(table[me])
		:: else -> skip
		fi;
#endif
		done[me] = 1 }
	:: atomic { !dead[me] && phase[me] == 2 && done[me] == 1 && quiet(me) ->
#ifndef NO_RECORD
		if
		:: table[me] != 0 && table[me] != PENDING -> store(table[me])
		:: else -> skip
		fi;
#endif
		done[me] = 2 }
	:: atomic { !dead[me] && phase[me] == 3 && done[me] == 2 ->
#ifndef NO_FILTER
		filter[me] = (!keeperDead[0] && record[0] == SETTLED) || (!keeperDead[1] && record[1] == SETTLED);
#endif
		done[me] = 3 }

	/* A packet arrives: the decision ... */
	:: atomic { !dead[me] && !deciding[me] && ((syns < SYNS && !aged) || (holder != 0 && datas < DATAS)) ->
		if
		:: syns < SYNS && !aged -> syns++; opens = true
		:: holder != 0 && datas < DATAS -> datas++; opens = false
		fi;
		deciding[me] = true;
		asks = false;
		if
		:: table[me] != 0 -> chosen = table[me]
		:: table[me] == 0 && phase[me] == 0 -> chosen = SETTLED
		:: table[me] == 0 && phase[me] >= 1 && phase[me] <= 3 ->
			asks = true;
			if
			:: opens && phase[me] >= 2 -> proposal = PENDING
			:: !opens && phase[me] == 3 -> proposal = PENDING
			:: else -> proposal = SETTLED
			fi;
#ifdef NO_BIND
			asks = !opens;
			chosen = proposal;
#endif
		:: table[me] == 0 && phase[me] == 4 && filter[me] -> asks = true; proposal = PENDING
		:: table[me] == 0 && phase[me] == 4 && !filter[me] -> chosen = PENDING
		fi }

	/* ... and what follows from it, at some later time. */
	:: atomic { deciding[me] && asks && !dead[me] -> bind(proposal, chosen); asks = false }
	:: atomic { deciding[me] && !asks && !dead[me] ->
		if
		:: table[me] == 0 -> table[me] = chosen; opener[me] = opens
		:: else -> chosen = table[me]
		fi;
		deliver(chosen, opens);
		deciding[me] = false }
	od
}

/* Deaths: at most one node and one keeper. When the node that dies is the only
 * one that knows the flow, what becomes of it is not promised. */
proctype Deaths() {
	byte victim;
	if
	:: true -> skip
	:: atomic {
		if
		:: victim = 0
		:: victim = 1
		fi;
		dead[victim] = true;
		if
		:: holder != 0 && table[1 - victim] == 0 &&
			(keeperDead[0] || record[0] == 0) && (keeperDead[1] || record[1] == 0) -> lost = true
		:: else -> skip
		fi }
	fi
}

proctype KeeperDeath() {
	byte victim;
	if
	:: true -> skip
	:: atomic {
		if
		:: victim = 0
		:: victim = 1
		fi;
		keeperDead[victim] = true;
		/* The last copy of what only a dead node knew. */
		if
		:: holder != 0 && (dead[0] || dead[1]) && (dead[0] || table[0] == 0) && (dead[1] || table[1] == 0) &&
			record[1 - victim] == 0 -> lost = true
		:: else -> skip
		fi }
	fi
}

/* Time passes: the flow is older than SynRetryTime. */
proctype Age() {
	atomic { holder != 0 -> aged = true }
}

init {
	atomic {
		run Node(0);
		run Node(1);
		run Deaths();
		run KeeperDeath();
		run Age()
	}
}
