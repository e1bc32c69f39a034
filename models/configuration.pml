/*
 * Commit and propagation of configuration versions.
 *
 * Two operators race, each with one proposal, at processes 0 and 1 (entries, which
 * read the table); process 2 (an agent) receives versions from its peers only.
 * Version 1 is committed before the start; a process at version 0 has no configuration
 * and serves nothing.
 *
 * Faults: the table is unavailable for any operation and any time; the answer of an
 * insert is lost, and the insert takes effect at once, later or never; replies of the
 * table and of peers arrive late, when the receiver already has a newer version;
 * processes restart and lose their state.
 *
 * After a restart, a process that reads the table is at no lower version than it ever
 * had in force.  While the table is unavailable, the process adopts the version of the
 * first peer that answers, which may be older than the one that it served before the
 * restart; it adopts the newer one as soon as a newer peer or the table answers.
 * CLAIM_NEVER_BELOW_ACROSS_RESTARTS states the stronger property, which does not hold.
 */

#define PROCESSES 3
#define ENTRIES 2
#define OPERATORS 2
#define VERSIONS 3
#define INITIAL 3          /* proposal id of version 1 */
#define CONFIRM_TRIES 2
#define NONE 255

#ifndef RESTARTS
#define RESTARTS 2
#endif

mtype = { APPLIED, CONFLICT, UNAVAILABLE, LOST };            /* results of an insert */
mtype = { PENDING, ACCEPTED, REJECTED, UNKNOWN };            /* answers to operators */

/* The table: proposal id of each committed version, 0 for none. */
byte row_by_version[VERSIONS + 2];
byte last_version = 1;
byte late_version[OPERATORS];       /* late insert with a lost answer, 0: none */

/* The processes. */
byte version[PROCESSES];
byte proposal[PROCESSES];           /* id of the row of that version */
byte ever_served[PROCESSES];        /* highest version over all incarnations */

/* Replies in flight to a process: [0] from a peer, [1] from the table. */
typedef Replies {
  byte version[2];
  byte proposal[2]
}
Replies replies[PROCESSES];

mtype answer[OPERATORS] = PENDING;
bool faults_over;
#ifdef CLAIM_NEVER_BELOW_ACROSS_RESTARTS
#define SERVES_AGAIN(p) assert(version[p] >= ever_served[p])
#else
#define SERVES_AGAIN(p) skip
#endif

/* A committed row is never replaced and never from a proposal answered REJECTED. */
inline insert_effect(number, who) {
#ifndef MUTANT_OVERWRITES
  assert(row_by_version[number] == 0);
#else
  assert(row_by_version[number] == 0 || answer[row_by_version[number] - 1] != ACCEPTED);
#endif
  assert(answer[who - 1] != REJECTED);
  row_by_version[number] = who;
  if
  :: number > last_version -> last_version = number
  :: else
  fi
}

/* Drops a reply that would be ignored on arrival, to limit the states. */
inline drop_old_reply(owner, slot) {
#ifndef MUTANT_TAKES_OLDER_VERSION
  if
  :: replies[owner].version[slot] <= version[owner] ->
    replies[owner].version[slot] = 0;
    replies[owner].proposal[slot] = 0
  :: else
  fi
#else
  skip
#endif
}

/*
 * A process adopts only versions newer than its own.
 * code: current_configuration.CurrentConfiguration.apply,
 * current_configuration.CurrentConfiguration.adopt
 */
inline learn(learner, number, who) {
  if
#ifdef MUTANT_TAKES_OLDER_VERSION
  :: number != version[learner] ->
#else
  :: number > version[learner] ->
#endif
    assert(row_by_version[number] == who);
    assert(number >= version[learner]);
    version[learner] = number;
    proposal[learner] = who;
    drop_old_reply(learner, 0);
    drop_old_reply(learner, 1);
    SERVES_AGAIN(learner);
    if
    :: number > ever_served[learner] -> ever_served[learner] = number
    :: else
    fi
  :: else
  fi
}

#ifdef MUTANT_OVERWRITES
#define IS_TAKEN(v) false
#else
#define IS_TAKEN(v) (row_by_version[v] != 0)
#endif

/* code: platform_table.PlatformTable.insert */
inline insert(number, who) {
  if
  :: result = UNAVAILABLE
  :: IS_TAKEN(number) -> result = CONFLICT
  :: !IS_TAKEN(number) -> insert_effect(number, who); result = APPLIED
  :: late_version[who - 1] == 0 && !IS_TAKEN(number) -> late_version[who - 1] = number; result = LOST
  :: IS_TAKEN(number) -> result = LOST
  fi
}

/* A late insert takes effect if the version is still free then, or never. */
proctype LateInsert(byte self) {
end:
  do
  :: atomic {
      late_version[self] != 0 ->
      if
      :: !IS_TAKEN(late_version[self]) -> insert_effect(late_version[self], self + 1)
      :: true
      fi;
      late_version[self] = 0
    }
  od
}

/*
 * One change of an operator.
 * code: commands.execute, configuration_store.ConfigurationStore.propose,
 * platform_table.insert_confirmed
 */
proctype Operator(byte self) {
  byte target;
  byte tries;
  bool may_have_effect;
  mtype result = APPLIED;

  atomic {
    version[self] > 0 -> target = version[self] + 1
  };
#ifdef MUTANT_APPLIES_BEFORE_COMMIT
  atomic { learn(self, target, self + 1) };
#endif
propose:
  atomic {
    if
    :: tries == CONFIRM_TRIES -> answer[self] = UNKNOWN; goto done
    :: else -> tries++
    fi;
    insert(target, self + 1);
    if
    :: result == APPLIED -> answer[self] = ACCEPTED; goto accepted
    :: result == CONFLICT ->
#ifdef MUTANT_IGNORES_PROPOSAL_ID
      answer[self] = REJECTED; goto done
#else
      skip
#endif
    :: result == LOST ->
#ifdef MUTANT_LOST_ANSWER_ACCEPTED
      answer[self] = ACCEPTED; goto accepted
#endif
      may_have_effect = true
    :: result == UNAVAILABLE && may_have_effect -> answer[self] = UNKNOWN; goto done
    :: result == UNAVAILABLE && !may_have_effect -> answer[self] = REJECTED; goto done
    fi
  };
  atomic {
    if
    :: may_have_effect ->  /* the table is unavailable */
#ifdef MUTANT_LOST_ANSWER_REJECTED
      answer[self] = REJECTED; goto done
#else
      answer[self] = UNKNOWN; goto done
#endif
    :: !may_have_effect -> answer[self] = REJECTED; goto done
    :: row_by_version[target] == self + 1 ->
      answer[self] = ACCEPTED;
      goto accepted
    :: row_by_version[target] != 0 && row_by_version[target] != self + 1 ->
      /* The rejected operator's process learns the row that was committed instead. */
      learn(self, target, row_by_version[target]);
      answer[self] = REJECTED;
      goto done
    :: row_by_version[target] == 0 -> goto propose
    fi
  };
accepted:
  atomic {
    if
    :: version[self] > 0 -> learn(self, target, self + 1)
    :: else  /* the process has restarted meanwhile */
    fi
  };
done:
  atomic {
    assert(answer[self] != ACCEPTED || row_by_version[target] == self + 1);
    assert(answer[self] != REJECTED || row_by_version[target] != self + 1);
    tries = 0;
    may_have_effect = false;
    target = 0;
    result = APPLIED
  }
}

/*
 * Asks a peer whose heartbeat reported a newer version; the reply arrives later.
 * code: configuration_sync.ConfigurationSync.fetch_from
 */
inline ask(peer) {
  atomic {
    replies[self].version[0] == 0 && version[peer] > version[self] ->
    replies[self].version[0] = version[peer];
    replies[self].proposal[0] = proposal[peer]
  }
}

/*
 * Receives versions from the table and from peers.
 * code: configuration_follower.ConfigurationFollower.poll,
 * configuration_sync.ConfigurationSync._apply_reply
 */
proctype Process(byte self) {
end:
  do
  :: atomic {  /* polls the table; the reply arrives later */
      (self < ENTRIES && last_version > version[self]
       && replies[self].version[1] == 0) ->
      replies[self].version[1] = last_version;
      replies[self].proposal[1] = row_by_version[last_version]
    }
#ifndef MUTANT_ASKS_NO_PEERS
  :: ask(0)
  :: ask(1)
  :: ask(2)
#endif
  :: atomic {
      replies[self].version[0] > 0 ->
      learn(self, replies[self].version[0], replies[self].proposal[0]);
      replies[self].version[0] = 0;
      replies[self].proposal[0] = 0
    }
  :: atomic {
      replies[self].version[1] > 0 ->
      learn(self, replies[self].version[1], replies[self].proposal[1]);
      replies[self].version[1] = 0;
      replies[self].proposal[1] = 0
    }
  od
}

/*
 * A restarted process has no state; an entry reads the table before it listens.
 * code: entry.Entry.start
 */
inline restart(restarted) {
  version[restarted] = 0;
  proposal[restarted] = 0;
  replies[restarted].version[0] = 0;
  replies[restarted].proposal[0] = 0;
  replies[restarted].version[1] = 0;
  replies[restarted].proposal[1] = 0;
  if
  :: restarted < ENTRIES ->
    learn(restarted, last_version, row_by_version[last_version]);
    assert(version[restarted] >= ever_served[restarted])
  :: true  /* the table is unavailable */
  fi
#ifdef MUTANT_SERVES_DEFAULT_AFTER_RESTART
  ;
  learn(restarted, 1, 0)
#endif
}

proctype Faults() {
  byte restarts;
  do
  :: atomic {
      restarts < RESTARTS ->
      restarts++;
      if
      :: restart(0)
      :: restart(1)
      :: restart(2)
      fi
    }
  :: atomic {
      true ->
      restarts = 0;
      faults_over = true;
      break
    }
  od
}

/* Once the faults are over and no step is left, every process has the last version. */
active proctype Convergence() {
  timeout;
  assert(faults_over);
  assert(answer[0] != PENDING && answer[1] != PENDING);
  assert(version[0] == last_version);
  assert(version[1] == last_version);
  assert(version[2] == last_version)
}

init {
  atomic {
    byte i;
    row_by_version[1] = INITIAL;
    for (i : 0 .. PROCESSES - 1) {
      version[i] = 1;
      proposal[i] = INITIAL;
      ever_served[i] = 1;
      run Process(i)
    }
    for (i : 0 .. OPERATORS - 1) {
      run Operator(i);
      run LateInsert(i)
    }
    run Faults();
    i = 0
  }
}
