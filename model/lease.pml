/* The lease of one worker with one run: an owner 0 that has just taken over from an
 * earlier one, and an owner 1 that takes over from it. Time passes in ticks; a process
 * may stand still at any point. See model/README.md.
 *
 * Guards that can be taken out:
 *   NO_FIRST    the first answer counts as the longest lease, which an earlier owner may have granted
 *   NO_SENDING  a deadline counts from the sending of its hold, not from the answer
 *   NO_BOUND    leases after a takeover are bounded from its sending, not from its answer
 *   NO_WAIT     a worker that was never heard is waited for as long as an earlier owner may have granted
 */
#define LEASE 3             /* that a hold asks for */
#define MOST 4              /* longest lease, also after the last commit */
#define END 8               /* ticks */
#define MAX(a, b) (a > b -> a : b)
#define MIN(a, b) (a < b -> a : b)

byte now;
byte until = MOST;          /* end of the lease at the worker: an earlier owner granted it */
byte fence;                 /* highest owner that the worker has heard */
byte head;                  /* owner in the store */
bool knows[2];              /* the process knows that it has taken over */
byte took[2], commit[2];    /* tick of the takeover, and of the last commit that succeeded */
bool heard[2];              /* the worker has answered the owner */
byte known[2];              /* deadline that the owner reckons with */
byte asked[2];              /* deadline in the hold, 0 for none */
byte open[2];               /* the hold: 0 none, 1 sent, 2 carried out */

inline owner(p) {
	do
	:: atomic { knows[p] && open[p] == 0 ->
		asked[p] = (heard[p] -> MIN(now + LEASE, commit[p] + MOST) : 0);
		open[p] = 1;
#ifndef NO_SENDING
		known[p] = MAX(known[p], asked[p])
#endif
		}
	:: atomic { open[p] == 2 ->
#ifdef NO_SENDING
		known[p] = MAX(known[p], asked[p]);
#endif
#ifndef NO_FIRST
		if :: !heard[p] -> known[p] = MAX(known[p], now + MOST) :: else -> skip fi;
#endif
		heard[p] = true;
		open[p] = 0 }
	:: atomic { knows[p] && head == p -> commit[p] = now }
	/* gives the run up, which has to be stored */
	:: atomic { knows[p] && head == p && heard[p] && now > known[p] -> assert(now >= until) }
#ifndef NO_WAIT
	:: atomic { knows[p] && head == p && !heard[p] && now > took[p] + MOST -> assert(now >= until) }
#else
	:: atomic { knows[p] && head == p && !heard[p] && now > took[p] + 1 -> assert(now >= until) }
#endif
	od
}

/* its takeover has taken effect at tick 0 and is answered at any later tick */
active proctype first() {
#ifndef NO_BOUND
	atomic { knows[0] = true; commit[0] = 0 };
#else
	atomic { knows[0] = true; commit[0] = now };
#endif
	owner(0)
}

active proctype second() {
	atomic { head = 1; took[1] = now; commit[1] = now; knows[1] = true };
	owner(1)
}

active proctype worker() {
	do
	:: atomic { open[0] == 1 && fence == 0 -> open[0] = 2; until = (now < until -> MAX(until, asked[0]) : until) }
	:: atomic { open[0] == 1 && fence == 1 -> open[0] = 0 }
	:: atomic { open[1] == 1 -> fence = 1; open[1] = 2; until = (now < until -> MAX(until, asked[1]) : until) }
	od
}

active proctype time() {
	do
	:: atomic { now < END -> now++ }
	:: now == END -> break
	od
}
