/*
 * One request key, two entry processes that a caller asks one after the other
 * or at once, the table, the runner of the work, and the configuration chain.
 *
 * Each entry writes the key's row (the job record, or the intent of a
 * non-idempotent request) and answers. Writes may be lost, arrive late, or lose
 * their answer; an entry may stop at any step.
 *
 * Guards that a -D macro takes out: NO_READ_BACK (a lost answer is taken for a
 * failure), NO_TOMBSTONE (an absent row is taken for a write that can no longer
 * arrive), NO_INTENT (the request is sent before its row is durable), NO_FLOOR
 * (a process applies any configuration number that it hears).
 */

mtype = { ABSENT, RECORD, TOMBSTONE, DONE, NOANSWER, ACCEPTED, NOTRUN, UNKNOWN,
          IDLE, FLYING, TOOK, CONFLICT };

mtype row = ABSENT;            /* job/<organisation>/<key> */
byte author = 2;               /* entry whose record is in the row */
byte ran = 0;                  /* times the work was started */
mtype answer[2] = NOANSWER;
mtype write[2] = IDLE;         /* the entry's record write under way */

byte head = 1;                 /* the configuration chain in the table */
byte applied[2] = 1;           /* number in force at each entry */
byte floor[2] = 1;             /* highest number ever in force there */

#define TRUTHFUL assert(!(answer[0] == NOTRUN && answer[1] == NOTRUN && ran > 0)); \
  assert(!(answer[0] == NOTRUN && ran > 0 && author == 0)); \
  assert(!(answer[1] == NOTRUN && ran > 0 && author == 1)); \
  assert(ran <= 1); \
  assert(!((answer[0] == ACCEPTED || answer[1] == ACCEPTED) && row != RECORD && row != DONE))

/* platform.Client.Commit of platform.Create: takes effect once, if the row is absent */
proctype Platform() {
  byte i;
  end: do
  :: atomic { write[0] == FLYING -> i = 0; goto take }
  :: atomic { write[1] == FLYING -> i = 1; goto take }
  od;
take: atomic {
    if
    :: row == ABSENT -> row = RECORD; author = i; write[i] = TOOK
    :: else -> write[i] = CONFLICT
    fi;
    i = 0;
    TRUTHFUL;
    goto end }
}

/* dispatch.Desk.submit, commitDue; job.Store.Append, appendRow */
proctype Entry(byte e) {
  atomic { write[e] = FLYING };
#ifdef NO_INTENT
  atomic { ran++; TRUTHFUL };
#endif
  if
  :: atomic { write[e] == TOOK -> goto durable } /* dispatch.Desk.committed */
  :: atomic { write[e] == CONFLICT -> goto back } /* job.Store.resolve */
  :: atomic { true -> /* platform.ErrUnknown: the write may still arrive */
#ifdef NO_READ_BACK
       answer[e] = NOTRUN; TRUTHFUL; goto end_stop
#else
       goto back
#endif
     }
  :: goto end_stop /* the process dies, the caller hears nothing */
  fi;
back: /* job.Store.resolve, explainConflict; job.LookupKey for the key of another job */
  if
  :: atomic { (row == RECORD || row == DONE) && author == e -> goto durable }
  :: atomic { (row == RECORD || row == DONE) && author != e -> answer[e] = ACCEPTED; TRUTHFUL; goto end_stop }
  /* No Go function writes a tombstone: the same row is appended again
   * (dispatch.shard.frozen) and the caller hears unknown. */
  :: atomic { row == TOMBSTONE -> answer[e] = NOTRUN; TRUTHFUL; goto end_stop }
  :: atomic { row == ABSENT ->
#ifdef NO_TOMBSTONE
       answer[e] = NOTRUN; TRUTHFUL; goto end_stop
#else
       if
       :: row = TOMBSTONE; answer[e] = NOTRUN; TRUTHFUL /* the late write now conflicts */
       :: answer[e] = UNKNOWN
       fi;
       goto end_stop
#endif
     }
  :: atomic { answer[e] = UNKNOWN; goto end_stop } /* dispatch.Desk.Submit: the row cannot be read */
  fi;
durable:
  atomic { answer[e] = ACCEPTED; TRUTHFUL }; /* dispatch.Desk.apply */
end_stop: skip
}

/* dispatch.Desk.place, rack.Group.Sync, job.Book.Ended: whoever owns the job shard runs what is recorded, once; the
 * attempts model shows that the start is not repeated */
proctype Run() {
  end: do
  :: atomic { row == RECORD && ran == 0 -> ran++; TRUTHFUL }
  :: atomic { row == RECORD && ran > 0 -> row = DONE; TRUTHFUL; break }
  od
}

/* chain.Publisher.Publish, Follower.pollTable, Heard, Poll and Apply: an entry
 * hears numbers from the table and from its peer, late */
proctype Chain(byte e) {
  byte heard = 1;
  end: do
  :: atomic { head < 3 -> head++ }
  :: atomic { heard = head }
  :: atomic { heard = applied[1 - e] }
  :: atomic {
#ifdef NO_FLOOR
       heard != applied[e] ->
#else
       heard > applied[e] ->
#endif
       applied[e] = heard; /* Follower.Apply; floor: SetFloor */
       assert(applied[e] >= floor[e]);
       floor[e] = applied[e] }
  od
}

init { atomic { run Platform(); run Entry(0); run Entry(1); run Run(); run Chain(0); run Chain(1) } }
