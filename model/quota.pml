/* The limit of one organisation over two dockets: shares that owners give to each
 * other, and what runs, while owners are replaced, messages are lost, repeated or
 * late, and the operator raises and lowers the limit. See model/README.md.
 *
 * Guards that can be taken out:
 *   NO_STORE   a gift is told before it is stored
 *   NO_MAX     each message of a gift adds to the share
 *   NO_KEEP    a docket gives away what its tasks need
 *   NO_REPORT  after the limit was lowered a docket does not wait for the other
 *   NO_FLOOR   a new owner goes by an older configuration than it has reported by
 *   NO_STEPS   who has missed a version takes the limit as not lowered in between
 */
#define WHOLE 2    /* parts of the limit */
#define VERSIONS 3
#define GIFTS 2    /* of a docket in all */

byte newest = 1;
byte limit[VERSIONS + 1];   /* by version */

/* stored */
byte given[2], received[2], floor[2];
/* in the owner's memory */
byte giving[2], receiving[2], version[2], since[2], heard[2];
/* messages that were ever sent; any may arrive at any time, again and again */
bool told[8], reported[8];  /* 4 * docket + total, 4 * docket + version */

byte running[2];
byte i, most;

#define SHARE(d) (WHOLE / 2 + receiving[d] - giving[d])
#define ADMITS(d, share) ((share) * limit[version[d]] / WHOLE)
#ifdef NO_FLOOR
#define FRESH(d) true
#else
#define FRESH(d) (version[d] >= floor[d])
#endif
#ifdef NO_REPORT
#define HEARD(d) true
#else
#define HEARD(d) (heard[d] >= since[d])
#endif
#ifdef NO_KEEP
#define SPARES(d) true
#else
#define SPARES(d) (running[d] <= ADMITS(d, SHARE(d) - 1))
#endif

inline judge() {
	/* each version from the oldest in force on may be in force */
	i = (version[0] < version[1] -> version[0] : version[1]);
	most = 0;
	do
	:: i <= newest -> if :: limit[i] > most -> most = limit[i] :: else -> skip fi; i++
	:: else -> break
	od;
	i = 0;
	assert(running[0] + running[1] <= most);
	most = 0
}

inline follow(d, v) {
#ifdef NO_STEPS
	if :: limit[v] < limit[version[d]] -> since[d] = v :: else -> skip fi;
#else
	if :: limit[v] < limit[version[d]] || v != version[d] + 1 -> since[d] = v :: else -> skip fi;
#endif
	version[d] = v
}

inline commit(d) { given[d] = giving[d]; received[d] = receiving[d] }

proctype Owner(byte d) {
	byte v;
	do
	/* a start is stored with all that precedes it */
	:: atomic { FRESH(d) && HEARD(d) && running[d] + 1 <= ADMITS(d, SHARE(d)) -> commit(d); running[d]++; judge() }
	:: atomic { running[d] > 0 -> running[d]-- }
	:: atomic { FRESH(d) && giving[d] < GIFTS && SHARE(d) > 0 && SPARES(d) -> giving[d]++;
#ifdef NO_STORE
		told[4 * d + giving[d]] = true
#endif
	}
	:: atomic { giving[d] != given[d] || receiving[d] != received[d] -> commit(d) }
	:: atomic { given[d] > 0 -> told[4 * d + given[d]] = true }
	:: atomic { v = 1;
		do :: v < GIFTS -> v++ :: break od;
		if
#ifdef NO_MAX
		:: told[4 * (1 - d) + v] && receiving[d] < GIFTS -> receiving[d]++
#else
		:: told[4 * (1 - d) + v] && v > receiving[d] -> receiving[d] = v
#endif
		:: else -> skip
		fi; v = 0 }
	/* report: the version is stored first, or was */
	:: atomic { FRESH(d) && running[d] <= ADMITS(d, SHARE(d)) ->
		if :: version[d] > floor[d] -> floor[d] = version[d]; commit(d) :: else -> skip fi;
		reported[4 * d + version[d]] = true }
	:: atomic { v = 1;
		do :: v < VERSIONS -> v++ :: break od;
		if :: reported[4 * (1 - d) + v] && v > heard[d] -> heard[d] = v :: else -> skip fi; v = 0 }
	:: atomic { version[d] < newest -> follow(d, newest) }
	/* another process takes the docket over, with a configuration that may be older */
	:: atomic { v = 1;
		do :: v < newest -> v++ :: break od;
		giving[d] = given[d]; receiving[d] = received[d]; heard[d] = 0;
		version[d] = v; since[d] = v; v = 0 }
	od
}

proctype Operator() {
	do
	:: atomic { newest < VERSIONS -> newest++ }
	:: newest == VERSIONS -> break
	od
}

init {
	atomic {
		limit[1] = 2; limit[2] = 4; limit[3] = 2;
		version[0] = 1; version[1] = 1; since[0] = 1; since[1] = 1;
		run Operator(); run Owner(0); run Owner(1)
	}
}
