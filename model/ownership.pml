/*
 * One rack shard, its worker W, and one task whose attempt 1 belongs on W.
 *
 * A owns the shard with epoch 1. B is a live session of the same data centre
 * and A's witness. D started later, so it is no witness of A. B or D may expire
 * A and take the shard with epoch 2; D may then end gracefully and E, no witness
 * either, take it with epoch 3. The owner starts attempt 2 on another worker X
 * once it is certain that attempt 1 cannot run on W.
 *
 * A process that does nothing while time passes is paused or dead. A call that
 * is not made, or whose answer never comes, is a cut; so every cut of A, B, D
 * and E from the table, from each other and from W is included.
 *
 * Guards that a -D macro takes out: NO_FENCE, NO_WAIT, NO_READ_BACK,
 * NO_WITNESS, NO_UNSETTLED.
 */

#define VALID    2  /* ticks: TTL - Margin */
#define OBSERVE  3  /* ticks: TTL + Margin */
#define PROMISE  2  /* ticks */
#define LEASE    2  /* ticks, drift included */
#define TRANSIT  1  /* ticks a message to W is under way */

mtype = { LIVE, EXPIRED, NEVER, RUNNING, STOPPED, IDLE, SENT, APPLIED, REJECTED };

/* the table */
mtype rowA = LIVE;      /* session/A */
byte age = 0;           /* since the last renewal took effect; the longest any observer can have seen */
byte expiredBy = 0;     /* 1 = B, 2 = D */
byte epoch = 1;         /* shard/…/rack */
byte owner = 0;         /* 0 = A, 1 = B, 2 = D, 3 = E */
bool unsettled = false; /* the row still lists A among earlier owners */

/* A */
byte left = VALID;      /* Session.Valid while above 0 */
mtype renewal = IDLE;
byte renewalAge = 0;
bool asked = false; bool answered = false;
byte askAge = 0;

/* B */
byte promised = 0;      /* Session.promised[A] */
bool condemned = false; /* Session.condemned[A] */
bool cutOff = false;    /* Session.cutOff */
bool knowsExpired = false;

/* the present owner after A */
bool allowed = false;   /* Grant.WaitOut.Allowed */
byte wait = 0;          /* until WaitOut.From + lease */
bool settledW = false;  /* W fenced, inventory read */

/* W and X */
byte highest = 1;       /* highest epoch that W has seen */
mtype attempt1 = NEVER;
byte lease = 0;
bool attempt2 = false;
byte message = 0;       /* epoch of A's Sync under way, 0 for none */
byte messageAge = 0;

#define CHECK assert(!(attempt1 == RUNNING && attempt2))
#define DEC(x) if :: x > 0 -> x-- :: else fi
#define INC(x, top) if :: x < top -> x++ :: else fi

/* Session.renew, relay, confirm and readBack of A */
proctype A() {
  end: do
  :: atomic { renewal == IDLE -> renewal = SENT; renewalAge = 0 }
  :: atomic { renewal == APPLIED -> /* the answer, or readBack finds the row */
       if :: VALID - renewalAge > left -> left = VALID - renewalAge :: else fi;
       renewal = IDLE }
  :: atomic { renewal == REJECTED -> renewal = IDLE } /* errLost */
  :: atomic { renewal != IDLE -> /* the answer is lost */
#ifdef NO_READ_BACK
       if :: VALID - renewalAge > left -> left = VALID - renewalAge :: else fi;
#endif
       renewal = IDLE }
  /* Session.gatherPromises */
  :: atomic { !asked -> asked = true; answered = false; askAge = 0 }
  :: atomic { asked && answered ->
       if :: PROMISE - askAge > left -> left = PROMISE - askAge :: else fi;
       asked = false; answered = false }
  :: atomic { asked -> asked = false; answered = false }
  /* worker.Agent.Sync: Valid is checked just before the send */
  :: atomic { left > 0 && message == 0 -> message = 1; messageAge = 0 }
  od
}

/* platform.Client.Commit and worker.Client.Sync under way: effects that no
 * process waits for. */
proctype Platform() {
  end: do
  :: atomic { renewal == SENT ->
       if
       :: rowA == LIVE -> age = 0; renewal = APPLIED;
            /* Session.learnRow of B: a newer live row undoes condemned */
            if :: condemned -> condemned = false :: true fi
       :: else -> renewal = REJECTED
       fi }
  :: atomic { message > 0 -> /* W receives A's Sync */
       if
#ifdef NO_FENCE
       :: true ->
#else
       :: message >= highest ->
            highest = message;
#endif
            if
            :: attempt1 == NEVER -> attempt1 = RUNNING; lease = LEASE
            :: attempt1 == RUNNING -> lease = LEASE
            :: else
            fi
       :: message < highest -> skip
       fi;
       message = 0; CHECK }
  :: atomic { message > 0 -> message = 0 } /* lost */
  od
}

/* Session.GivePromise, noteTable, expireSilent; Shards.taking */
proctype B() {
  end: do
  :: atomic { !cutOff -> cutOff = true }
  :: atomic { cutOff -> cutOff = false; knowsExpired = (rowA == EXPIRED) }
  :: atomic { !cutOff && rowA == EXPIRED -> knowsExpired = true }
  :: atomic { asked && !answered && cutOff && !condemned && !knowsExpired ->
       answered = true; promised = PROMISE }
  :: atomic { !cutOff && rowA == LIVE && age >= OBSERVE && promised == 0 && !condemned -> condemned = true }
  :: atomic { condemned && rowA == LIVE && age >= OBSERVE -> rowA = EXPIRED; expiredBy = 1 }
  :: atomic { rowA == EXPIRED && epoch == 1 && promised == 0 ->
       condemned = true; epoch = 2; owner = 1; allowed = true; wait = TRANSIT + LEASE }
  od
}

inline refuseOrAllow() {
  /* Session.certainlyStopped without a denial */
  if
  :: expiredBy == 1 -> allowed = true
#ifdef NO_WITNESS
  :: else -> allowed = true
#else
  :: else -> allowed = false
#endif
  fi;
  wait = TRANSIT + LEASE
}

/* D, then E: Session.expireSilent; Shards.taking, Session.gone */
proctype D() {
  end: do
  :: atomic { rowA == LIVE && age >= OBSERVE -> rowA = EXPIRED; expiredBy = 2 }
  :: atomic { rowA == EXPIRED && epoch == 1 ->
       epoch = 2; owner = 2; unsettled = true; refuseOrAllow() }
  /* D: Session.End; E: Shards.taking */
  :: atomic { owner == 2 && epoch == 2 && !attempt2 ->
       epoch = 3; owner = 3; settledW = false; wait = TRANSIT + LEASE;
#ifdef NO_UNSETTLED
       allowed = true
#else
       refuseOrAllow()
#endif
       }
  /* Shards.reviewWaitOuts: B's GivePromise with d = 0 denies */
  :: atomic { owner >= 2 && !allowed && promised == 0 ->
       condemned = true; allowed = true; wait = TRANSIT + LEASE }
  od
}

/* The present owner after A, rack.Rack.Outbox and Answer: fences W and reads its
 * inventory, or waits it out (Rack.expire, AllowWaitOut). */
proctype Owner() {
  end: do
  :: atomic { owner > 0 && !settledW ->
#ifndef NO_FENCE
       if :: epoch > highest -> highest = epoch :: else fi;
#endif
       settledW = true;
       /* attempt 1 is adopted if it runs; it may be confirmed stopped later */
       }
  :: atomic { settledW && attempt1 != RUNNING && !attempt2 -> attempt2 = true; CHECK }
  :: atomic { owner > 0 && allowed && !attempt2 &&
#ifdef NO_WAIT
       true
#else
       wait == 0
#endif
       -> attempt2 = true; CHECK }
  od
}

proctype Clock() {
  end: do
  :: atomic { !(message > 0 && messageAge >= TRANSIT) ->
       DEC(left); DEC(promised); DEC(wait);
       INC(age, OBSERVE); INC(renewalAge, VALID); INC(askAge, PROMISE); INC(messageAge, TRANSIT);
       if
       :: attempt1 == RUNNING && lease <= 1 -> attempt1 = STOPPED; lease = 0 /* self-stop */
       :: attempt1 == RUNNING && lease > 1 -> lease--
       :: else
       fi }
  od
}

init { atomic { run A(); run Platform(); run B(); run D(); run Owner(); run Clock() } }
