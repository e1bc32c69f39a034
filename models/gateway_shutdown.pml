/*
 * The shutdown of a gateway whose event loop runs late and that may stand still around
 * SIGTERM, so that it knows the time of SIGTERM by two bounds only: the last pass of its
 * loop without the signal (earliest), and the pass that notices it (latest).
 *
 * Each caller has one connection, which it opens at any time while the gateway listens,
 * and sends requests on it until the gateway closes it or announces that it will.  What
 * a caller sends arrives at once; the gateway sees it only when its loop runs.  The
 * loop runs at any time, at the latest LATE ticks after it was due, and STOP ticks after
 * that as long as SIGTERM has not been noticed.  A pass of the loop begins with the
 * closing step, so that nothing that arrived since the last pass has been read then.
 * SIGTERM comes at any time; SIGKILL follows GRACE ticks later.
 *
 * Checked, by the real time of SIGTERM: no connection is closed with a request that has
 * arrived; a request that begins after the notice is answered before it would have to
 * be ended; the gateway listens for MIN_SERVE ticks; the process ends before SIGKILL,
 * whatever its bounds, as no answer here is a begun stream (see `gateway_streams`).  The
 * model says nothing of requests that cross the close on their way, of answers still
 * being sent, of a loop that is later than it has been, and of requests that begin
 * between the notice and the start of the shutdown, some steps of the loop later.
 */

#define CALLERS 2
#ifndef REQUESTS
#define REQUESTS 2                 /* of each caller */
#endif
#define LATE 1
#ifndef STOP
#define STOP 2
#endif
#define NEED 2                     /* ticks in which an answer surely ends */
#define ENDLESS 100                /* ticks of an answer that does not end in time */
#define MIN_SERVE 2
#define BEGIN 5
#define ANSWER 6
#define CUT 7                      /* of begun answers, from the latest time */
#define END 9
#define GRACE 11
#define WINDOW (END - CUT)         /* between bounds with which the process ends first */

mtype = { UNOPENED, WAITING, ACCEPTED, CLOSED };    /* connections */
mtype = { NONE, ARRIVED, SENT };                    /* their requests */

mtype connection[CALLERS] = UNOPENED;
mtype request[CALLERS] = NONE;
byte work[CALLERS];                /* ticks until the answer has surely ended */
bool began_late[CALLERS];          /* the request was sent after SIGTERM */
bool is_announced[CALLERS];        /* the last answer said Connection: close */
byte requests_left[CALLERS] = REQUESTS;

bool is_signalled;
bool is_noticed;
byte stood_still;                  /* ticks from the last pass to SIGTERM */
byte passed;                       /* ticks since SIGTERM */
byte unnoticed;                    /* how many of them before the loop noticed */
byte skipped;                      /* ticks since the last pass of the loop */
bool is_listening = true;
bool is_closing;
bool has_ended;

/* code: gateway.main.Gateway.note_signal */
#define SINCE_LATEST (passed - unnoticed)
#ifdef MUTANT_COUNTS_FROM_NOTICE
#define SINCE_EARLIEST SINCE_LATEST
#else
#define SINCE_EARLIEST (passed + stood_still)
#endif

/* code: gateway.shutdown_schedule.ShutdownSchedule.may_begin */
#ifdef MUTANT_BEGINS_BY_LATEST
#define MAY_BEGIN (!is_noticed || SINCE_LATEST + LATE + NEED <= BEGIN)
#else
#ifdef MUTANT_BEGINS_ANYTHING
#define MAY_BEGIN true
#else
#define MAY_BEGIN (!is_noticed || SINCE_EARLIEST + LATE + NEED <= BEGIN)
#endif
#endif

/* code: gateway.shutdown_schedule.ShutdownSchedule.answer_limit_ms */
#ifdef MUTANT_ANSWERS_BY_LATEST
#define IS_ANSWER_DUE (SINCE_LATEST >= ANSWER)
#else
#define IS_ANSWER_DUE (SINCE_EARLIEST >= ANSWER)
#endif

/* code: gateway.shutdown_schedule.ShutdownSchedule.end_limit_ms */
#define IS_END_DUE (SINCE_EARLIEST >= END && SINCE_LATEST >= CUT)

/* code: gateway.shutdown_schedule.ShutdownSchedule._may_get_callers */
#ifdef MUTANT_LISTENS_BY_EARLIEST
#define MAY_GET_CALLERS (SINCE_EARLIEST < MIN_SERVE)
#else
#define MAY_GET_CALLERS (SINCE_LATEST < MIN_SERVE)
#endif

/* code: gateway.callers.CallerListener.close_idle */
inline close_idle() {
  for (i : 0 .. CALLERS - 1) {
    if
    :: connection[i] == WAITING ->
#ifdef MUTANT_CLOSES_ACCEPT_QUEUE
      assert(request[i] == NONE);
      connection[i] = CLOSED
#else
      connection[i] = ACCEPTED
#endif
    :: connection[i] == ACCEPTED && request[i] == NONE -> connection[i] = CLOSED
#ifdef MUTANT_CLOSES_WHAT_IS_UNREAD
    :: connection[i] == ACCEPTED && request[i] == ARRIVED ->
      assert(false);
      connection[i] = CLOSED
#endif
    :: else
    fi
  };
  assert(!is_listening || passed >= MIN_SERVE);
  is_listening = false
}

/* code: gateway.main.Gateway.stop,
 * gateway.shutdown_schedule.ShutdownSchedule.next_stage */
inline shut_down() {
  if
  :: !(MAY_GET_CALLERS) -> is_closing = true
  :: MAY_GET_CALLERS || SINCE_EARLIEST + LATE < ANSWER
  fi;
  if
  :: is_closing -> close_idle()
  :: else
  fi;
  if
  :: !is_listening && connection[0] != ACCEPTED && connection[1] != ACCEPTED ->
    has_ended = true
  :: else
  fi
}

/* Accepts, reads, sends and answers all that it can. */
inline serve() {
  for (i : 0 .. CALLERS - 1) {
    if
    :: connection[i] == WAITING && is_listening -> connection[i] = ACCEPTED
    :: else
    fi;
    if
    :: request[i] == SENT && work[i] == 0 -> answer()
    :: request[i] == SENT && is_noticed && IS_ANSWER_DUE ->
      assert(!began_late[i]);
      answer()
    :: else
    fi;
    if
    :: connection[i] == ACCEPTED && request[i] == ARRIVED && MAY_BEGIN ->
      request[i] = SENT;
      began_late[i] = is_signalled;
      if
      :: work[i] = NEED
      :: !is_noticed -> work[i] = ENDLESS
      fi
    :: connection[i] == ACCEPTED && request[i] == ARRIVED && !(MAY_BEGIN) -> answer()
    :: else
    fi
  }
}

/* code: gateway.callers.CallerAnswer.begin */
inline answer() {
  request[i] = NONE;
  work[i] = 0;
#ifndef MUTANT_KEEPS_CONNECTIONS
  is_announced[i] = is_noticed
#endif
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
      :: is_noticed -> shut_down()
      :: else
      fi;
      if
      :: !has_ended && is_noticed && IS_END_DUE ->
        assert(request[0] == NONE && request[1] == NONE);
        assert(passed >= MIN_SERVE);
        has_ended = true
      :: else
      fi;
      if
      :: !has_ended -> serve()
      :: else
      fi;
      i = 0
    }
  :: has_ended -> break
  od
}

proctype Caller(byte self) {
end:
  do
  :: atomic { connection[self] == UNOPENED && is_listening ->
      connection[self] = WAITING }
  :: atomic {
      (connection[self] == WAITING || connection[self] == ACCEPTED) &&
      request[self] == NONE && !is_announced[self] && requests_left[self] > 0 ->
      request[self] = ARRIVED;
      requests_left[self]--
    }
  :: atomic {  /* it closes a connection that the gateway will close */
      connection[self] == ACCEPTED && request[self] == NONE && is_announced[self] ->
      connection[self] = CLOSED
    }
  :: connection[self] == CLOSED -> break
  od
}

proctype Time() {
  byte i;
end:
  do
  :: atomic {
      !has_ended && (skipped <= LATE || (!is_noticed && skipped <= LATE + STOP)) ->
      skipped++;
      if
      :: !is_signalled -> stood_still++
      :: is_signalled -> passed++
      fi;
      if
      :: is_signalled && !is_noticed -> unnoticed++
      :: else
      fi;
      for (i : 0 .. CALLERS - 1) {
        if
        :: work[i] > 0 && work[i] < ENDLESS -> work[i]--
        :: else
        fi
      };
      i = 0;
      if
      :: passed == GRACE ->        /* SIGKILL */
        assert(stood_still + unnoticed > WINDOW);
        assert(request[0] == NONE && request[1] == NONE);
        has_ended = true
      :: else
      fi
    }
  :: has_ended -> break
  od
}

/* In the end the process has ended, and no request that had arrived is left. */
active proctype Finish() {
  timeout;
  assert(has_ended);
  byte i;
  for (i : 0 .. CALLERS - 1) {
    assert(request[i] == NONE)
  }
}

init {
  atomic {
    run Gateway();
    run Caller(0);
    run Caller(1);
    run Time()
  };
  is_signalled = true
}
