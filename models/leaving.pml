/*
 * Leaving and graceful shutdown of agents.
 *
 * Agent 0 may be marked as leaving (in the platform's list or by an operator's drain;
 * each process sees this at a time of its own, if ever), and gets SIGTERM at any time,
 * whether it was marked or not.  Agent 1 may be marked as well.  Each request is served
 * by one of two entries; a link carries packets in order, both ways, with any delay.
 *
 * Shutdown: the agent refuses new work and waits for the running requests; then it
 * sends GOODBYE on each link and continues to read.  An entry answers with GOODBYE and
 * sends nothing more on that link.  The agent closes its links when all entries have
 * answered, so that no packet is lost in a closing link.  (The agent disconnects an
 * entry that does not answer within a timeout; that is not a graceful end and not part
 * of this model.)
 */

#define AGENTS 2
#define ENTRIES 2
#ifndef REQUESTS
#define REQUESTS 2
#endif
#define NONE 7
#define ENTRY_OF(r) ((r) % ENTRIES)
#define LINK(e, a) ((e) * AGENTS + (a))

mtype = { OPEN, ENDED, REFUSED, LEAVING, GOODBYE };       /* packets */
mtype = { PENDING, ANSWERED, NOT_RUN, CUT };   /* results; CUT: the link closed */

chan up[ENTRIES * AGENTS] = [REQUESTS + 1] of { mtype, byte };
chan down[ENTRIES * AGENTS] = [REQUESTS + 3] of { mtype, byte };
bool closed[ENTRIES * AGENTS];

bool told_to_leave[AGENTS];        /* marked in the list or the configuration */
bool terminated;                   /* SIGTERM at agent 0 */
bool refuses[AGENTS];              /* the agent accepts no new work */
byte running[AGENTS];              /* accepted requests that have not ended */
bool ended[AGENTS];
bool avoids[ENTRIES * AGENTS];     /* the entry sends nothing more to the agent */
byte goodbyes[AGENTS];             /* GOODBYEs received from entries */

mtype result[REQUESTS] = PENDING;
byte sent_to[REQUESTS] = NONE;     /* agent */

/* code: runner.StreamRunner.open */
inline take_open(a, e, r) {
  if
#ifdef MUTANT_ACCEPTS_WHILE_LEAVING
  :: true ->
#else
  :: !refuses[a] ->
#endif
    assert(!refuses[a]);
    run Run(a, e, r);
#ifndef MUTANT_COUNTS_AFTER_CLAIM
    running[a]++
#endif
  :: refuses[a] -> down[LINK(e, a)] ! REFUSED(r)
  fi
}

/*
 * One accepted request.
 * code: runner.StreamRunner._run
 */
proctype Run(byte a; byte e; byte r) {
#ifdef MUTANT_COUNTS_AFTER_CLAIM
  running[a]++;
#endif
  atomic {
    assert(!ended[a]);
    running[a]--;
    down[LINK(e, a)] ! ENDED(r)
  }
}

inline say(a, packet) {
  down[LINK(0, a)] ! packet(NONE);
  down[LINK(1, a)] ! packet(NONE)
}

/* Drops the packets that a link has not sent yet when it is closed at once. */
inline drop(e) {
  do
  :: down[LINK(e, 0)] ? _, _
  :: empty(down[LINK(e, 0)]) -> break
  od
}

/* code: agent_service.AgentService.refresh, agent_service.AgentService.stop */
proctype Agent(byte self) {
  byte r;
  bool said_goodbye;
  bool says_leaving;
end:
  do
  :: atomic { up[LINK(0, self)] ? OPEN(r) -> take_open(self, 0, r); r = 0 }
  :: atomic { up[LINK(1, self)] ? OPEN(r) -> take_open(self, 1, r); r = 0 }
  :: atomic { up[LINK(0, self)] ? GOODBYE(_) -> goodbyes[self]++ }
  :: atomic { up[LINK(1, self)] ? GOODBYE(_) -> goodbyes[self]++ }
  :: atomic {
      (told_to_leave[self] || (self == 0 && terminated)) && !refuses[self] ->
      refuses[self] = true
    }
  :: atomic {  /* the next heartbeat */
      refuses[self] && !says_leaving && !said_goodbye ->
      says_leaving = true;
      say(self, LEAVING)
    }
#ifdef MUTANT_CLOSES_WITH_RUNNING
  :: atomic { self == 0 && terminated && refuses[0] && !said_goodbye ->
#else
  :: atomic {
      self == 0 && terminated && refuses[0] && running[0] == 0 && !said_goodbye ->
#endif
      said_goodbye = true;
      say(self, GOODBYE);
#ifdef MUTANT_CLOSES_AT_ONCE
      goodbyes[self] = ENTRIES
#endif
    }
  :: atomic {
      said_goodbye && goodbyes[self] >= ENTRIES && !ended[self] ->
      ended[self] = true;
      closed[LINK(0, self)] = true;
      closed[LINK(1, self)] = true;
#ifdef MUTANT_DROPS_UNSENT_FRAMES
      drop(0);
      drop(1);
#endif
      break
    }
  od
}

/*
 * The entry's side of a link.
 * code: agent_links.AgentLinks.packet_received,
 * agent_links.AgentLinks.heartbeat_received, agent_links.AgentLinks.remove_link
 */
proctype Link(byte e; byte a) {
  byte r;
end:
  do
  :: atomic { down[LINK(e, a)] ? ENDED(r) -> result[r] = ANSWERED; r = 0 }
#ifdef MUTANT_IGNORES_REFUSAL
  :: down[LINK(e, a)] ? REFUSED(_)
#else
  :: atomic {
      down[LINK(e, a)] ? REFUSED(r) ->
      avoids[LINK(e, a)] = true;
      sent_to[r] = NONE;
      r = 0
    }
#endif
  :: atomic { down[LINK(e, a)] ? LEAVING(_) -> avoids[LINK(e, a)] = true }
  :: atomic {
      down[LINK(e, a)] ? GOODBYE(_) ->
#ifndef MUTANT_SENDS_AFTER_GOODBYE
      avoids[LINK(e, a)] = true;
#endif
      if
      :: closed[LINK(e, a)]
      :: !closed[LINK(e, a)] -> up[LINK(e, a)] ! GOODBYE(NONE)
      fi
    }
  :: atomic {  /* sees it in the list or the configuration */
      told_to_leave[a] && !avoids[LINK(e, a)] -> avoids[LINK(e, a)] = true
    }
  :: atomic {
      closed[LINK(e, a)] && empty(down[LINK(e, a)]) ->
      avoids[LINK(e, a)] = true;
      for (r : 0 .. REQUESTS - 1) {
        if
        :: ENTRY_OF(r) == e && sent_to[r] == a && result[r] == PENDING -> result[r] = CUT
        :: else
        fi
      }
      break
    }
  od
}

inline send(a) {
  sent_to[self] = a;
  up[LINK(ENTRY_OF(self), a)] ! OPEN(self)
}

/*
 * A request is sent to any agent that its entry does not avoid.
 * code: plain_dispatch.PlainDispatcher._run_attempts, router.Router.choose
 */
proctype Request(byte self) {
  do
  :: atomic {
      sent_to[self] == NONE && result[self] == PENDING ->
      if
      :: !avoids[LINK(ENTRY_OF(self), 0)] -> send(0)
      :: !avoids[LINK(ENTRY_OF(self), 1)] -> send(1)
      :: avoids[LINK(ENTRY_OF(self), 0)] && avoids[LINK(ENTRY_OF(self), 1)] ->
        result[self] = NOT_RUN
      fi
    }
  :: result[self] != PENDING -> break
  od;
  assert(result[self] != CUT)
}

proctype Causes() {
  if
  :: told_to_leave[0] = true
  :: true
  fi;
  if
  :: told_to_leave[1] = true
  :: true
  fi
}

/* In the end, agent 0 has ended and every request has its answer. */
active proctype End() {
  timeout;
  assert(ended[0]);
  assert(running[1] == 0);
  byte i;
  for (i : 0 .. REQUESTS - 1) {
    assert(result[i] == ANSWERED || result[i] == NOT_RUN)
  }
}

init {
  atomic {
    byte i;
    run Agent(0);
    run Agent(1);
    run Link(0, 0);
    run Link(0, 1);
    run Link(1, 0);
    run Link(1, 1);
    for (i : 0 .. REQUESTS - 1) {
      run Request(i)
    }
    run Causes();
    i = 0
  };
  terminated = true
}
