/*
 * At-most-once execution and correct "not run" answers for one row of the requests
 * table, that is for one (client account, idempotency key).
 *
 * A caller sends the request TRIES times with the same key, each time to another
 * entry and possibly while the earlier try is still open.  In try 0 the entry may
 * send to SENDS agents in turn, in the others to one; every send has its own attempt
 * id.  One Agent process models the handling of one attempt.
 *
 * Faults: any table operation may be refused without effect; the answer of any
 * operation may be lost; a write whose answer was lost takes effect at once, later
 * or never; an agent may restart; a message may be lost; a process may pause
 * anywhere, even forever, since nothing limits how long the others run meanwhile.
 * The deadline is not modelled as a clock: an entry may abandon an attempt at any
 * time after it has sent it.
 *
 * Not covered: deletion of old rows.  It must wait longer than any process can
 * pause, because once a row is deleted a paused attempt can insert it again.
 */

#ifndef TRIES
#define TRIES 2
#endif
#ifndef SENDS
#define SENDS 2
#endif
#define ATTEMPTS (SENDS + TRIES - 1)
#ifndef AGENTS
#define AGENTS 2
#endif
#define AGENT_OF(a) ((a) % AGENTS)
/* Numbers of the writers: claims and withdrawals by attempt, then entries by try. */
#define WITHDRAWAL(a) (ATTEMPTS + (a))
#define CANCELLATION(t) (2 * ATTEMPTS + (t))
#define WRITERS (2 * ATTEMPTS + TRIES)
#ifndef TABLE_TRIES
#define TABLE_TRIES 2
#endif
#ifndef ENTRY_TRIES
#define ENTRY_TRIES 2
#endif
#define NONE 7
#define ABSENT_REVISION 0

mtype = { ABSENT, STARTED, CANCELLED, OUTCOME };   /* states of the row */
mtype = { APPLIED, CONFLICT, UNAVAILABLE, LOST };  /* results of a write */
mtype = { PENDING, NOT_RUN, DONE, UNKNOWN };       /* answers */

#define BIT(a) (1 << (a))
#define TRY_OF(a) ((a) < SENDS -> 0 : (a) - SENDS + 1)
#define FIRST_ATTEMPT(t) ((t) == 0 -> 0 : SENDS + (t) - 1)
#define LAST_ATTEMPT(t) (SENDS + (t) - 1)
#define ATTEMPTS_OF(t) ((t) == 0 -> BIT(SENDS) - 1 : BIT(SENDS + (t) - 1))

/* `cancelled` is the set of all attempts that were cancelled in this row. */
typedef Row {
  mtype state = ABSENT;
  unsigned attempt : 3 = NONE;
  byte cancelled;
  byte revision
}

/* A write whose answer was lost and that has not taken effect yet. */
typedef LateWrite {
  mtype state = ABSENT;  /* ABSENT: none */
  byte cancelled;
  byte base
}

Row row;
LateWrite late[WRITERS];

chan opens[ATTEMPTS] = [1] of { bit };
chan answers[ATTEMPTS] = [1] of { mtype };

bool has_run;
byte executed;               /* set of attempts */
byte told_not_run;           /* set of tries that were answered NOT_RUN */
byte withdrawn;              /* set of attempts with a pending withdrawal */
byte awaited;                /* set of attempts whose entry still waits */

#ifdef MUTANT_UNCONDITIONAL_REPLACE
#define MATCHES(revision_) (row.revision == (revision_) || (revision_) > 0)
#else
#define MATCHES(revision_) (row.revision == (revision_))
#endif

/* Discards late writes on older revisions, which can no longer take effect. */
inline forget_outdated() {
  byte w;
  for (w : 0 .. WRITERS - 1) {
    if
    :: late[w].state != ABSENT && !MATCHES(late[w].base) ->
      late[w].state = ABSENT;
      late[w].cancelled = 0;
      late[w].base = 0
    :: else
    fi
  }
  w = 0
}

inline put(state_, attempt_, cancelled_) {
  row.state = state_;
  row.attempt = attempt_;
  row.cancelled = cancelled_;
  row.revision++;
  forget_outdated()
}

#define ATTEMPT_OF(state_) ((state_) == CANCELLED -> NONE : writer)

/*
 * A conditional write; the expected revision 0 means insert.
 * code: platform_table.PlatformTable.insert, platform_table.PlatformTable.replace
 */
inline write(state_, cancelled_, base_, writer) {
  if
  :: MATCHES(base_) ->
    put(state_, ATTEMPT_OF(state_), cancelled_);
    result = APPLIED
  :: !MATCHES(base_) -> result = CONFLICT
  :: result = UNAVAILABLE
  :: MATCHES(base_) ->
    late[writer].state = state_;
    late[writer].cancelled = cancelled_;
    late[writer].base = base_;
    result = LOST
  :: !MATCHES(base_) -> result = LOST
  fi
}

/*
 * A consistent read.
 * code: platform_table.PlatformTable.read
 */
inline read_row() {
  if
  :: seen.state = row.state;
    seen.attempt = row.attempt;
    seen.cancelled = row.cancelled;
    seen.revision = row.revision;
    ok = true
  :: ok = false
  fi
}

/* A write whose answer was lost takes effect at any time or never. */
proctype LateEffect(byte writer) {
end:
  do
  :: atomic {
      late[writer].state != ABSENT ->
      put(late[writer].state, ATTEMPT_OF(late[writer].state), late[writer].cancelled);
      late[writer].state = ABSENT;
      late[writer].cancelled = 0;
      late[writer].base = 0
    }
  od
}

/* Resets variables that are not used after a decision, to limit the states. */
inline clear() {
  seen.state = ABSENT;
  seen.attempt = NONE;
  result = APPLIED;
  ok = false
}

inline clear_all() {
  clear();
  seen.cancelled = 0;
  seen.revision = 0;
  tries = 0
}

/* Sends the answer unless the entry has abandoned the attempt. */
inline send_answer() {
  if
  :: awaited & BIT(self) -> answers[self] ! answer
  :: else
  fi;
  answer = PENDING;
  may_have_effect = false
}

/* The call to the backend server. */
inline execute() {
  assert(!has_run);
  has_run = true;
  executed = executed | BIT(self);
  assert(!(told_not_run & BIT(TRY_OF(self))))
}

/*
 * A record admits a further attempt if it is absent, holds only cancellations, or
 * was claimed by an attempt that this agent process has withdrawn.
 * code: attempt_records.RequestRecord.admits, attempt_claims.AttemptClaims._after_withdrawal,
 * attempt_backlog._is_free
 */
#define IS_WITHDRAWN(a) \
  ((withdrawn & BIT(a)) && AGENT_OF(a) == AGENT_OF(self))
#ifdef MUTANT_REPLACES_ANY_CLAIM
#define IS_FREE_CLAIM (seen.state == STARTED && seen.attempt != self)
#else
#define IS_FREE_CLAIM (seen.state == STARTED && IS_WITHDRAWN(seen.attempt))
#endif
#ifdef MUTANT_ADMITS_CANCELLED_ATTEMPT
#define IS_REFUSED false
#else
#define IS_REFUSED (seen.cancelled & BIT(self))
#endif

/*
 * Adds the attempt of a withdrawn claim to the cancelled attempts.
 * code: attempt_records.RequestRecord.with_cancelled
 */
inline release_claim() {
  if
  :: seen.state == STARTED -> seen.cancelled = seen.cancelled | BIT(seen.attempt)
  :: else
  fi
}

/*
 * Handling of one attempt at an agent.
 * code: service_backend.ServiceBackend._call_once
 */
proctype Agent(byte self) {
  Row seen;
  mtype result = APPLIED;
  mtype answer = PENDING;
  byte tries;
  bool ok;
  bool may_have_effect;

end_not_sent:
  atomic {
    opens[self] ? _;
    goto claim
  };

  /*
   * code: attempt_claims.AttemptClaims.claim, platform_table.insert_confirmed,
   * platform_table.replace_confirmed
   */
claim:
  atomic {
    if
    :: tries == TABLE_TRIES -> goto unconfirmed
    :: else -> tries++
    fi;
    write(STARTED, seen.cancelled, seen.revision, self);
    if
    :: result == APPLIED -> seen.revision++; clear(); goto confirmed
    :: result == UNAVAILABLE && may_have_effect -> goto unconfirmed
    :: result == UNAVAILABLE && !may_have_effect -> answer = NOT_RUN; goto reply
#ifdef MUTANT_NO_REREAD
    :: result == LOST -> seen.revision++; clear(); goto confirmed
#else
    :: result == LOST -> may_have_effect = true
#endif
    :: result == CONFLICT
    fi;
    clear()
  };
  atomic {
    read_row();
    if
    :: !ok && may_have_effect -> goto unconfirmed
    :: !ok && !may_have_effect -> answer = NOT_RUN; goto reply
    :: ok && seen.state == STARTED && seen.attempt == self -> clear(); goto confirmed
    :: ok && seen.state == STARTED && seen.attempt != self && !IS_FREE_CLAIM ->
      answer = UNKNOWN;
      goto reply
    :: ok && IS_FREE_CLAIM && !IS_REFUSED -> release_claim()
    :: ok && IS_FREE_CLAIM && IS_REFUSED -> answer = NOT_RUN; goto reply
    :: ok && seen.state == OUTCOME ->
      assert(executed & BIT(seen.attempt));
      answer = DONE;
      goto reply
    :: ok && seen.state == CANCELLED && IS_REFUSED -> answer = NOT_RUN; goto reply
    :: ok && seen.state == CANCELLED && !IS_REFUSED
    :: ok && seen.state == ABSENT
    fi;
    clear()
  };
  goto claim;

  /* The claim is confirmed; the deadline may have passed meanwhile. */
confirmed:
#ifdef MUTANT_OUTCOME_BEFORE_RUN
  atomic {
    write(OUTCOME, 0, seen.revision, self);
    clear()
  };
#endif
  if
  :: atomic { true -> goto unconfirmed }  /* code: attempt_claims.AttemptClaims.withdraw */
  :: atomic { true -> goto restart }
  :: atomic { true -> execute() }
  fi;
  if
  :: atomic {
      /*
       * The row stays STARTED when the write fails.
       * code: attempt_claims.AttemptClaims.record_outcome
       */
      write(OUTCOME, 0, seen.revision, self);
      answer = DONE;
      goto reply
    }
  :: atomic { true -> goto restart }
  fi;

  /*
   * The attempt will never run.  Its claim is withdrawn in the background.
   * code: attempt_backlog.Backlog.add_withdrawal, attempt_backlog.cancel_attempts
   */
unconfirmed:
  atomic {
    clear_all();
    withdrawn = withdrawn | BIT(self);
    answer = NOT_RUN;
    send_answer()
  };
withdrawal:
  atomic {
    if
    :: tries == TABLE_TRIES -> clear_all(); goto stop  /* stays pending */
    :: else -> tries++
    fi;
    write(CANCELLED, seen.cancelled | BIT(self), seen.revision, WITHDRAWAL(self));
    if
    :: result == APPLIED -> goto withdrawal_done
    :: else -> clear()
    fi
  };
  atomic {
    read_row();
    if
    :: ok && (seen.state == OUTCOME || (seen.state == STARTED
              && seen.attempt != self && !IS_FREE_CLAIM)) -> goto withdrawal_done
    :: ok && seen.state == STARTED && (seen.attempt == self || IS_FREE_CLAIM) ->
      release_claim()
    :: ok && seen.state == CANCELLED && (seen.cancelled & BIT(self)) ->
      goto withdrawal_done
    :: !ok
    :: ok && seen.state == CANCELLED && !(seen.cancelled & BIT(self))
    :: ok && seen.state == ABSENT
    fi;
    clear()
  };
  goto withdrawal;
withdrawal_done:
  atomic {
    withdrawn = withdrawn & ~BIT(self);
    clear_all();
    goto stop
  };

reply:
  atomic {
    clear_all();
    send_answer();
    goto stop
  };

restart:
  /* The process loses its attempts; only the row still records this one. */
#ifdef MUTANT_RUNS_AGAIN_AFTER_RESTART
  atomic {
    read_row();
    if
    :: ok && seen.state == STARTED && seen.attempt == self -> execute()
    :: else
    fi
  };
#endif
  clear_all();
stop:
  skip
}

/*
 * One try of the caller, at one entry.
 * code: plain_dispatch.PlainDispatcher.serve
 */
proctype Entry(byte self) {
  Row seen;
  mtype result = APPLIED;
  mtype answer = PENDING;
  byte tries;
  bool ok;
  byte a = FIRST_ATTEMPT(self);

send:
  atomic {
    awaited = awaited | BIT(a);
    opens[a] ! 0
  };
  if
  :: atomic {
      answers[a] ? answer;
      awaited = awaited & ~BIT(a);
      goto answered
    }
  :: atomic {
      /* The deadline passes, or the connection breaks. */
      awaited = awaited & ~BIT(a);
      if
      :: answers[a] ? _
      :: empty(answers[a])
      fi;
#ifdef MUTANT_SILENCE_IS_NOT_RUN
      answer = NOT_RUN;
      goto answered
#else
      goto cancel
#endif
    }
  fi;

  /*
   * Abandons the attempt; the answer is "not run" only if the attempt is known to
   * be cancelled.
   * code: plain_dispatch.PlainDispatcher._final_problem, attempt_claims.cancel
   */
cancel:
  atomic {
    if
    :: tries == ENTRY_TRIES -> answer = UNKNOWN; goto answered
    :: else -> tries++
    fi;
#ifdef MUTANT_FORGETS_CANCELLED
    write(CANCELLED, BIT(a), seen.revision, CANCELLATION(self));
#else
    write(CANCELLED, seen.cancelled | BIT(a), seen.revision, CANCELLATION(self));
#endif
    if
    :: result == APPLIED -> answer = NOT_RUN; goto answered
#ifdef MUTANT_LOST_CANCEL_WINS
    :: result == LOST -> answer = NOT_RUN; goto answered
#endif
    :: else
    fi;
    clear()
  };
  atomic {
    read_row();
    if
    :: !ok
    :: ok && seen.state == CANCELLED && (seen.cancelled & BIT(a)) ->
      answer = NOT_RUN;
      goto answered
    :: ok && (seen.state == STARTED || seen.state == OUTCOME) ->
      answer = UNKNOWN;
      goto answered
    :: ok && seen.state == CANCELLED && !(seen.cancelled & BIT(a))
    :: ok && seen.state == ABSENT
    fi;
    clear()
  };
  goto cancel;

answered:
  atomic {
    clear_all();
    if
    :: answer == NOT_RUN && a < LAST_ATTEMPT(self) ->
      answer = PENDING;
      a++;
      goto send
    :: answer == NOT_RUN ->
      assert(!(executed & ATTEMPTS_OF(self)));
      told_not_run = told_not_run | BIT(self)
    :: answer != NOT_RUN
    fi;
    answer = PENDING;
    a = 0
  }
}

init {
  atomic {
    byte i;
    for (i : 0 .. ATTEMPTS - 1) {
      run Agent(i)
    }
    for (i : 0 .. TRIES - 1) {
      run Entry(i)
    }
    for (i : 0 .. WRITERS - 1) {
      run LateEffect(i)
    }
    i = 0
  }
}
