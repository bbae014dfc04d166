/*
 * One task, two rack shards R0 and R1 with a worker each, and two owners of
 * the task's job shard: J1 with job epoch 1, then J2 with job epoch 2.
 *
 * Guards that a -D macro takes out: NO_FENCE (rack owners do not refuse a
 * lower job epoch), NO_INVENTORY (J2 places without having asked every rack
 * shard), NO_CONFIRM (attempt 2 without attempt 1 confirmed stopped), NO_INTENT
 * (a non-idempotent task gets an attempt 2).
 */

#define ATTEMPTS 2
mtype = { NONE, RUNNING, STOPPED };

byte granted = 1;            /* attempts that the record in the table allows */
bool idempotent;             /* chosen at the start */
mtype state[6] = NONE;       /* attempt a on rack r at 2 * a + r; a = 1, 2 */
byte seen[2];                /* highest attempt that the worker has seen */
byte jobEpoch[2];            /* highest that the rack owner has seen */
byte ran = 0;                /* starts of the task */
byte sentAttempt[4]; byte sentEpoch[4]; /* placements under way, slot 2 * (job owner - 1) + rack */
byte owner = 1;
bool heard[2];               /* J2 has the complete inventory of the rack */

#define AT(a, r) state[2 * (a) + (r)]
#define RUNS(r) (AT(1, r) == RUNNING || AT(2, r) == RUNNING)
#define CHECK assert(!(RUNS(0) && RUNS(1))); assert(idempotent || ran <= 1)
#define STARTED(a) (AT(a, 0) != NONE || AT(a, 1) != NONE)
#define ENDED(a) (STARTED(a) && AT(a, 0) != RUNNING && AT(a, 1) != RUNNING)

/* worker.Agent.Sync with Starts (agent.Agent.start): an attempt not above one seen is refused */
inline start(a, r) {
  if
  :: a > seen[r] -> seen[r] = a; AT(a, r) = RUNNING; ran++
  :: else
  fi;
  CHECK
}

/* rack.Group.Sync, place; rack.Rack.Place, Outbox, Answer */
proctype Rack(byte r) {
  byte i;
  end: do
  :: atomic { sentAttempt[r] > 0 -> i = r; goto receive }
  :: atomic { sentAttempt[2 + r] > 0 -> i = 2 + r; goto receive }
  :: atomic { RUNS(r) -> /* ends, fails or is stopped */
       if :: AT(1, r) == RUNNING -> AT(1, r) = STOPPED :: AT(2, r) == RUNNING -> AT(2, r) = STOPPED fi }
  od;
receive: atomic {
    if
    :: true -> skip /* the message is lost */
    :: true ->
       if
#ifndef NO_FENCE
       :: sentEpoch[i] < jobEpoch[r] -> skip /* refused */
       :: else -> jobEpoch[r] = sentEpoch[i];
#else
       :: true ->
#endif
            start(sentAttempt[i], r)
       fi
    fi;
    sentAttempt[i] = 0; i = 0;
    goto end }
}

/* dispatch.Desk.place, send, sync: places the granted attempt once, at one rack;
 * dispatch.Desk.endAttempt, job.Book.Ended: a retry goes after the commit that
 * grants it. J1 may stop at any step. */
proctype J1() {
  byte a = 1; bool placed = false;
  end: do
  :: atomic { !placed -> placed = true;
       if :: sentAttempt[0] = a; sentEpoch[0] = 1 :: sentAttempt[1] = a; sentEpoch[1] = 1 fi }
  :: atomic { placed && a < ATTEMPTS && owner == 1 &&
#ifndef NO_CONFIRM
       ENDED(a) &&
#endif
#ifndef NO_INTENT
       idempotent &&
#endif
       sentAttempt[0] == 0 && sentAttempt[1] == 0 ->
       granted = a + 1; a = granted; placed = false } /* job.Store.Append, dispatch.Desk.apply */
  :: atomic { placed && a < granted -> a = granted } /* job.Store.resolve */
  od
}

/* dispatch.Desk.Take, open, opened: the next owner raises the job epoch at every
 * rack owner (dispatch.Desk.sync, rack.Group.Sync), then decides
 * (dispatch.Desk.resolve, missing) */
proctype J2() {
  byte a;
  owner = 2;
  end: do
  :: atomic { !heard[0] -> jobEpoch[0] = 2; heard[0] = true }
  :: atomic { !heard[1] -> jobEpoch[1] = 2; heard[1] = true }
#ifdef NO_INVENTORY
  :: atomic { heard[0] || heard[1] ->
#else
  :: atomic { heard[0] && heard[1] ->
#endif
       a = granted;
       if
       :: (heard[0] && AT(a, 0) != NONE) || (heard[1] && AT(a, 1) != NONE) -> goto known
       :: else ->
            if :: sentAttempt[2] = a; sentEpoch[2] = 2 :: sentAttempt[3] = a; sentEpoch[3] = 2 fi;
            goto known
       fi }
  od;
known: do
  :: atomic { a < ATTEMPTS && ENDED(a) && sentAttempt[2] == 0 && sentAttempt[3] == 0 &&
#ifndef NO_INTENT
       idempotent &&
#endif
       true ->
       granted = a + 1; a = granted;
       if :: sentAttempt[2] = a; sentEpoch[2] = 2 :: sentAttempt[3] = a; sentEpoch[3] = 2 fi }
  :: else -> goto end2
  :: true -> goto end2
  od;
end2: skip
}

init {
  atomic {
    if :: idempotent = true :: idempotent = false fi;
    run Rack(0); run Rack(1); run J1(); run J2()
  }
}
