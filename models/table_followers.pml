/*
 * Gateways that follow one row of a table, from the store and from each other.
 *
 * A transaction writes the row, or another row and so only raises the version.  A
 * restore returns the store to a snapshot: its era rises, and versions are assigned
 * again.  A position is an era and a version in one number; `text_at` has what the row
 * held at each position.  Answers of the store and of peers show the state at one
 * moment and arrive at any later one, when the receiver may have newer state.
 *
 * Checked: the row that a gateway has at a position is the one that the store had at
 * that position; a gateway's position never decreases, and a full read brings it at
 * least to the position of the read; a configuration in force is never replaced by an
 * older one.
 */

#define GATEWAYS 2
#define NOTHING 0
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef RESTORES
#define RESTORES 2
#endif
#define ERA_STEP 4
#define POSITIONS 12               /* ERA_STEP * (RESTORES + 1) */
#define POSITION (era * ERA_STEP + version)
#define ERA_OF(position) ((position) / ERA_STEP)
#define VERSION_OF(position) ((position) % ERA_STEP)

mtype = { NONE, FULL, CHANGES };   /* what a call reads */

/* The store. */
byte era;
byte version = 1;
byte text = 1;                     /* of the row; texts are numbered */
byte text_version = 1;             /* version that wrote it */
byte last_text = 1;
byte text_at[POSITIONS];
byte text_version_at[POSITIONS];

/* The gateways. */
byte position[GATEWAYS];           /* up to which the gateway has read */
byte known_text[GATEWAYS];         /* text of the row at that position */
byte known_row[GATEWAYS];          /* position at which that text was written */
byte full_at[GATEWAYS];            /* position of the last full read */
bool is_lost[GATEWAYS];            /* the next call reads in full */
byte in_force[GATEWAYS];           /* newest configuration ever applied */

/* A call to the store. */
mtype asks[GATEWAYS] = NONE;
byte after[GATEWAYS];              /* position that changes are read from */
bool answered[GATEWAYS];
byte answer[GATEWAYS];             /* position */
byte answer_text[GATEWAYS];
byte answer_row[GATEWAYS];
bool is_gone[GATEWAYS];            /* the store no longer has that position */

/* A call to the other gateway. */
byte peer_answer[GATEWAYS];        /* position, NOTHING if there is no call */
byte peer_text[GATEWAYS];
byte peer_row[GATEWAYS];

/* code: gateway.fleet_state.FleetState.apply_configuration */
#ifdef MUTANT_CONFIGURATION_GOES_BACK
#define APPLY(g) in_force[g] = known_text[g]
#else
#define APPLY(g) if :: known_text[g] > in_force[g] -> in_force[g] = known_text[g] :: else fi
#endif

/* code: gateway.followers.TableFollower._replace */
inline replace(g, new_position, new_text, new_row) {
  position[g] = new_position;
  known_text[g] = new_text;
  known_row[g] = new_row;
  full_at[g] = new_position;
  is_lost[g] = false;
  was_in_force = in_force[g];
  APPLY(g);
  assert(in_force[g] >= was_in_force);
  was_in_force = 0
}

#ifdef MUTANT_FULL_READS_BY_VERSION
#define IS_OLD(g) (VERSION_OF(answer[g]) < VERSION_OF(position[g]))
#else
#ifdef MUTANT_LATE_ANSWER_BELIEVED
#define IS_OLD(g) false
#else
#define IS_OLD(g) (answer[g] < position[g])
#endif
#endif

/* code: platform.store.PlatformStore.changes */
#ifdef MUTANT_CHANGES_ACROSS_ERAS
#define IS_OTHER_ERA(g) false
#define IS_OF_KNOWN_ERA(g) true
#else
#define IS_OF_KNOWN_ERA(g) (ERA_OF(answer[g]) == ERA_OF(position[g]))
#define IS_OTHER_ERA(g) (ERA_OF(answer[g]) != ERA_OF(after[g]))
#endif

#ifdef MUTANT_CHANGES_BEFORE_FULL_READ
#define IS_FRESH(g) (answer_row[g] > after[g])
#else
#define IS_FRESH(g) (answer_row[g] > full_at[g] && answer_row[g] > known_row[g])
#endif

/* code: gateway.followers.TableFollower._apply_changes */
inline apply_changes(g) {
  if
  :: IS_OF_KNOWN_ERA(g) ->
    if
    :: IS_FRESH(g) ->
      known_text[g] = answer_text[g];
      known_row[g] = answer_row[g];
      APPLY(g)
    :: else
    fi;
    if
    :: answer[g] > position[g] -> position[g] = answer[g]
    :: else
    fi
  :: else
  fi
}

inline forget_call(g) {
  asks[g] = NONE;
  after[g] = 0;
  answered[g] = false;
  answer[g] = 0;
  answer_text[g] = 0;
  answer_row[g] = 0;
  is_gone[g] = false
}

/* code: gateway.followers.TableFollower._step */
inline take_answer(g) {
  if
  :: asks[g] == FULL ->
    if
    :: IS_OLD(g) -> skip
    :: else -> replace(g, answer[g], answer_text[g], answer_row[g])
    fi;
    assert(position[g] >= answer[g])
  :: asks[g] == CHANGES && (is_gone[g] || IS_OTHER_ERA(g)) -> is_lost[g] = true
  :: else -> apply_changes(g)
  fi;
  forget_call(g)
}

#ifdef MUTANT_PEERS_BY_VERSION
#define IS_PEER_NEWER(g) (VERSION_OF(peer_answer[g]) > VERSION_OF(position[g]))
#else
#define IS_PEER_NEWER(g) (peer_answer[g] > position[g])
#endif

/* code: gateway.followers.TableFollower._read_from_peer */
inline take_peer_answer(g) {
  if
  :: IS_PEER_NEWER(g) -> replace(g, peer_answer[g], peer_text[g], peer_row[g])
  :: else
  fi;
  peer_answer[g] = NOTHING;
  peer_text[g] = 0;
  peer_row[g] = 0
}

inline check(g) {
  assert(position[g] == NOTHING || known_text[g] == text_at[position[g]]);
  assert(position[g] >= was_at);
  was_at = 0
}

proctype Gateway(byte g) {
  byte was_at;
  byte was_in_force;
end:
  do
  :: atomic {
       asks[g] == NONE && (position[g] == NOTHING || is_lost[g]) -> asks[g] = FULL
     }
  :: atomic {
       asks[g] == NONE && position[g] != NOTHING && !is_lost[g] ->
         asks[g] = CHANGES;
         after[g] = position[g]
     }
  :: atomic {
       answered[g] ->
         was_at = position[g];
         take_answer(g);
         check(g)
     }
  :: atomic {
       peer_answer[g] == NOTHING && position[1 - g] > position[g] ->
         peer_answer[g] = position[1 - g];
         peer_text[g] = known_text[1 - g];
         peer_row[g] = known_row[1 - g]
     }
  :: atomic {
       peer_answer[g] != NOTHING ->
         was_at = position[g];
         take_peer_answer(g);
         check(g)
     }
  od
}

inline note() {
  text_at[POSITION] = text;
  text_version_at[POSITION] = text_version
}

proctype Store() {
  byte g;
end:
  do
  :: atomic { version < VERSIONS -> version++; note() }
  :: atomic {
       version < VERSIONS ->
         version++;
         last_text++;
         text = last_text;
         text_version = version;
         note()
     }
  :: atomic {
       (asks[0] != NONE && !answered[0]) || (asks[1] != NONE && !answered[1]) ->
         if
         :: asks[0] != NONE && !answered[0] -> g = 0
         :: asks[1] != NONE && !answered[1] -> g = 1
         fi;
         answered[g] = true;
         answer[g] = POSITION;
         answer_text[g] = text;
         if                        /* a feed has changed rows only */
         :: asks[g] == CHANGES && text_version <= VERSION_OF(after[g]) ->
           answer_row[g] = 0
         :: else -> answer_row[g] = era * ERA_STEP + text_version
         fi;
         is_gone[g] = (asks[g] == CHANGES && VERSION_OF(after[g]) > version);
         g = 0
     }
  od
}

/* Returns the store to a snapshot from one or two transactions before. */
inline restore(back) {
  text = text_at[POSITION - back];
  text_version = text_version_at[POSITION - back];
  version = version - back;
  era++;
  note()
}

proctype Operator() {
end:
  do
  :: atomic { era < RESTORES && version > 1 -> restore(1) }
  :: atomic { era < RESTORES && version > 2 -> restore(2) }
  od
}

init {
  atomic {
    note();
    run Gateway(0);
    run Gateway(1);
    run Store();
    run Operator()
  }
}
