/*
 * Answers that are open while their gateway shuts down, and whether they are cut.
 *
 * The process may stand still around SIGTERM, so that it knows the time of SIGTERM by
 * two bounds only: the last pass of its loop without the signal (earliest), and the pass
 * that notices it (latest).  Each answer may have begun, begin, go on, end or lose its
 * server at any time, so that streams of every length are covered; what a server sends
 * arrives at once and is read by a later pass.  Within a pass, limits and reading come
 * in any order.  A begun stream whose server is lost goes on at another one if its rest
 * ends before the cut, else it is cut at once.
 *
 * Checked, by the real time of SIGTERM: a begun answer whose server was not lost is cut
 * no earlier than in the last sixth of the grace time, and never with its end unread; a
 * stream that goes on at another server is not cut; a request without a begun answer is
 * answered before SIGKILL; the process ends with no answer open, and before SIGKILL if
 * the bounds are less than WINDOW apart; if they are further apart, SIGKILL finds only
 * begun answers.  Ticks are fiftieths of the grace time.  With STOPS_ANY_TIME the process
 * may stand still again and again, also across the limits; what SIGKILL finds is not
 * checked then.
 *
 * The model says nothing of time limits of requests, of bytes that wait for a slow
 * caller, of a rest that lasts longer than expected, and of more to read than
 * `_handle_arrived` reads.
 */

#define ANSWERS 2
#define LATE 1
#ifndef STOP
#define STOP 5                     /* ticks of a standstill around SIGTERM */
#endif
#ifndef RESTS
#define RESTS 3                    /* longest rest of a stream that loses its server */
#endif
#define LAST_SIXTH 42              /* callers accept a cut from then on */
#define CUT 42                     /* from the latest time */
#define ANSWER 45                  /* this and the next two from the earliest time */
#define STREAM 46
#define END 48
#define FLUSH 1
#define GRACE 50
#define WINDOW (GRACE - CUT - FLUSH - LATE - 1)

#ifdef STOPS_ANY_TIME
#define MAY_STOP true
#else
#define MAY_STOP (!is_noticed)
#endif

mtype = { WAITING, BEGUN, WHOLE, FAILED, SHORTENED };   /* answers */
mtype = { AT_WORK, RESUMED, AT_END, LOST };             /* their servers */

mtype answer[ANSWERS] = WAITING;
mtype server[ANSWERS] = AT_WORK;
bool is_part_unread[ANSWERS];
bool is_end_unread[ANSWERS];       /* of the answer, or of a lost connection */
byte rest[ANSWERS];                /* ticks until a resumed stream ends */

bool is_signalled;
bool is_noticed;
byte stood_still;                  /* ticks from the last pass to SIGTERM */
byte passed;                       /* ticks since SIGTERM */
byte unnoticed;                    /* how many of them before the loop noticed */
byte skipped;                      /* ticks since the last pass of the loop */
bool has_ended;
bool was_killed;

/* code: gateway.main.Gateway.note_signal */
#define SINCE_EARLIEST (passed + stood_still)
#define SINCE_LATEST (passed - unnoticed)

/* code: gateway.shutdown_schedule.ShutdownSchedule.answer_limit_ms */
#ifdef MUTANT_ANSWERS_BY_LATEST
#define IS_ANSWER_DUE (SINCE_LATEST >= ANSWER)
#else
#define IS_ANSWER_DUE (SINCE_EARLIEST >= ANSWER)
#endif

/* code: gateway.shutdown_schedule.ShutdownSchedule.cut_limit_ms */
#ifdef MUTANT_CUTS_BY_EARLIEST
#define IS_CUT_WITHIN(ticks) (SINCE_EARLIEST + ticks >= STREAM)
#else
#define IS_CUT_WITHIN(ticks) \
  (SINCE_EARLIEST + ticks >= STREAM && SINCE_LATEST + ticks >= CUT)
#endif
#define IS_CUT_DUE IS_CUT_WITHIN(0)

/* code: gateway.shutdown_schedule.ShutdownSchedule.end_limit_ms */
#ifdef MUTANT_ENDS_BY_EARLIEST
#define IS_END_DUE (SINCE_EARLIEST >= END)
#else
#define IS_END_DUE (SINCE_EARLIEST >= END && SINCE_LATEST >= CUT + FLUSH)
#endif

/* code: gateway.shutdown_schedule.ShutdownSchedule.may_resume */
#ifdef MUTANT_RESUMES_ANYTHING
#define MAY_RESUME true
#else
#define MAY_RESUME (!is_noticed || !IS_CUT_WITHIN(rest[i] - 1))
#endif

/* code: gateway.forwarding.Forwarder._deadline_ms */
#define IS_DUE \
  (is_noticed && \
   ((answer[i] == BEGUN && IS_CUT_DUE) || (answer[i] == WAITING && IS_ANSWER_DUE)))

#define IS_OPEN(i) (answer[i] == WAITING || answer[i] == BEGUN)
#define IS_BROKEN(i) (server[i] == LOST && !is_end_unread[i])

/* Lets the answer's exchange handle what has arrived. */
inline read_arrived() {
  if
  :: is_part_unread[i] && answer[i] == WAITING -> answer[i] = BEGUN
  :: else
  fi;
  is_part_unread[i] = false;
  if
  :: is_end_unread[i] && server[i] == AT_END -> answer[i] = WHOLE
  :: else
  fi;
  is_end_unread[i] = false
}

/* code: gateway.forwarding.Forwarder._run_exchange */
inline run_exchange() {
  if
  :: read_arrived()                /* the exchange runs first */
  :: true
  fi;
  if
  :: IS_OPEN(i) && !IS_BROKEN(i) && IS_DUE ->
#ifndef MUTANT_ACTS_BEFORE_READING
    read_arrived();                /* code: gateway.forwarding.Forwarder._handle_arrived */
#endif
    if
#ifdef MUTANT_ENDS_WHAT_HAS_JUST_BEGUN
    :: IS_OPEN(i) && !IS_BROKEN(i) -> end_answer()
#else
    :: IS_OPEN(i) && !IS_BROKEN(i) && IS_DUE -> end_answer()
#endif
    :: else
    fi
  :: else -> read_arrived()
  fi;
  if
  :: IS_OPEN(i) && IS_BROKEN(i) -> resume()
  :: else
  fi
}

inline end_answer() {
  if
  :: answer[i] == BEGUN ->
    assert(passed >= LAST_SIXTH);
    assert(!is_end_unread[i]);
    assert(server[i] != RESUMED);
    answer[i] = SHORTENED
  :: answer[i] == WAITING -> answer[i] = FAILED
  fi
}

/* code: gateway.forwarding.Forwarder._may_begin */
inline resume() {
  if
  :: answer[i] == WAITING -> answer[i] = FAILED
  :: answer[i] == BEGUN ->
    rest[i] = 1;
    do
    :: rest[i] < RESTS -> rest[i]++
    :: break
    od;
    if
    :: MAY_RESUME -> server[i] = RESUMED
    :: else -> answer[i] = SHORTENED; rest[i] = 0
    fi
  fi
}

inline run_exchanges() {
  for (i : 0 .. ANSWERS - 1) {
    if
    :: IS_OPEN(i) -> run_exchange()
    :: else
    fi
  };
  i = 0
}

proctype Gateway() {
  byte i;
end:
  do
  :: atomic {
      !has_ended ->
      skipped = 0;
      if
      :: is_signalled -> is_noticed = true
      :: else -> stood_still = 0
      fi;
      if
      :: is_noticed && (IS_END_DUE || !(IS_OPEN(0) || IS_OPEN(1))) ->
        /* code: gateway.main.Gateway._send_last_answers */
#ifndef MUTANT_ENDS_AT_ONCE
        run_exchanges();
#endif
        assert(!IS_OPEN(0) && !IS_OPEN(1));
        has_ended = true
      :: else -> run_exchanges()
      fi
    }
  :: has_ended -> break
  od
}

proctype Server(byte self) {
end:
  do
  :: atomic {
      !has_ended && answer[self] == WAITING && server[self] == AT_WORK &&
      !is_part_unread[self] ->
      is_part_unread[self] = true
    }
  :: atomic {
      !has_ended && IS_OPEN(self) && server[self] == AT_WORK ->
      is_part_unread[self] = true;
      is_end_unread[self] = true;
      server[self] = AT_END
    }
  :: atomic {
      !has_ended && IS_OPEN(self) && server[self] == AT_WORK ->
      is_end_unread[self] = true;
      server[self] = LOST
    }
  :: has_ended || !IS_OPEN(self) || server[self] != AT_WORK -> break
  od
}

proctype Time() {
  byte i;
end:
  do
  :: atomic {
      !has_ended && (skipped <= LATE || (MAY_STOP && skipped <= LATE + STOP)) ->
      skipped++;
      if
      :: !is_signalled -> stood_still++
      :: is_signalled -> passed++
      fi;
      if
      :: is_signalled && !is_noticed -> unnoticed++
      :: else
      fi;
      for (i : 0 .. ANSWERS - 1) {
        if
        :: rest[i] > 0 ->
          rest[i]--;
          if
          :: rest[i] == 0 && IS_OPEN(i) ->
            is_part_unread[i] = true;
            is_end_unread[i] = true;
            server[i] = AT_END
          :: else
          fi
        :: else
        fi
      };
      i = 0;
      if
      :: passed == GRACE ->        /* SIGKILL */
#ifndef STOPS_ANY_TIME
        assert(stood_still + unnoticed > WINDOW);
        assert(answer[0] != WAITING && answer[1] != WAITING);
#endif
        was_killed = true;
        has_ended = true
      :: else
      fi
    }
  :: has_ended -> break
  od
}

active proctype Finish() {
  timeout;
  assert(has_ended);
  assert(was_killed || (!IS_OPEN(0) && !IS_OPEN(1)))
}

init {
  atomic {
    run Gateway();
    run Server(0);
    run Server(1);
    run Time()
  };
  is_signalled = true
}
