/*
 * A gateway that reads the row of one evacuation: pushes, rows of peers and full reads.
 *
 * The operator writes and removes the row.  A restore returns the store to a snapshot:
 * its era rises, and versions are assigned again.  A position is an era and a version
 * in one number.  Whatever the store once held may reach the gateway at any later
 * time, in any order and repeatedly: a written or removed row, or a full read.
 *
 * Checked: a gateway that has read an evacuation counts it as in force until it has
 * read the end, which is a later removal, or a full read of the same era that lacks
 * the row, or until the time after a restore is over; and a removal that is later than
 * all else that it has read ends it.
 */

#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef RESTORES
#define RESTORES 1
#endif
#define ERA_STEP 4
#define ERAS 3                     /* RESTORES + 1 at most */
#define POSITIONS 12               /* ERA_STEP * ERAS */
#define POSITION (era * ERA_STEP + version)
#define ERA_OF(position) ((position) / ERA_STEP)

/* The store. */
byte era;
byte version = 1;
byte row_version;                  /* that wrote the row; 0: there is none */
bool exists[POSITIONS];            /* the store was once at this position */
bool is_write[POSITIONS];          /* which wrote the row */
bool is_removal[POSITIONS];        /* which removed it */
byte row_at[POSITIONS];            /* version of the row at that position */

/* The gateway. */
byte known;                        /* position of the latest row or removal */
bool is_known;
bool in_force;
bool is_missing;                   /* a full read of a later era lacks the row */

/* What it has read, for the properties. */
byte last_present;                 /* latest position at which it has read the row */
bool has_present;
byte last_removal;
byte last_lacking[ERAS];           /* latest full read of the era without the row */
bool is_over;                      /* the time after a restore, for last_present */

#ifdef MUTANT_ROWS_IN_ORDER_OF_ARRIVAL
#define IS_LATE(position) false
#else
#ifdef MUTANT_ROWS_BY_VERSION
#define IS_LATE(position) (is_known && (position) % ERA_STEP <= known % ERA_STEP)
#else
#define IS_LATE(position) (is_known && (position) <= known)
#endif
#endif

/* code: gateway.evacuations.Evacuations.apply_row */
inline apply_row(position, removes) {
  if
  :: IS_LATE(position) ->
    if
    :: position == known -> is_missing = false
    :: else
    fi
  :: else ->
    known = position;
    is_known = true;
    in_force = !removes;
    is_missing = false
  fi
}

/* code: gateway.evacuations.Evacuations.apply_full_read */
inline apply_full_read(position) {
  if
  :: row_at[position] != 0 ->
    apply_row((ERA_OF(position) * ERA_STEP + row_at[position]), false)
  :: row_at[position] == 0 && in_force ->
    if
#ifndef MUTANT_ANY_ERA_ENDS
    :: ERA_OF(position) > ERA_OF(known) -> is_missing = true
#endif
    :: else ->
      if
      :: position > known -> apply_row(position, true)
      :: else
      fi
    fi
  :: else
  fi
}

inline note_present(position) {
  if
  :: !has_present || position > last_present ->
    last_present = position;
    has_present = true;
    is_over = false
  :: else
  fi
}

#define HAS_ENDED (is_over || last_removal > last_present \
                   || last_lacking[ERA_OF(last_present)] > last_present)

/* code: gateway.fleet_state.FleetState.may_send_to */
inline check() {
  assert(!has_present || HAS_ENDED || in_force);
  assert(last_removal == 0 || (has_present && last_removal <= last_present)
         || !in_force)
}

/*
 * code: gateway.row_consumers.OperatorRowConsumer.apply_changes
 * code: gateway.row_consumers.OperatorRowConsumer.apply_snapshot
 */
proctype Gateway() {
  byte at;
end:
  do
  :: atomic {
       at = 0;
       do
       :: at < POSITION -> at++
       :: exists[at] -> break
       od;
       if
       :: is_write[at] -> note_present(at); apply_row(at, false)
       :: is_removal[at] ->
         if
         :: at > last_removal -> last_removal = at
         :: else
         fi;
         apply_row(at, true)
       :: row_at[at] != 0 ->
         note_present((ERA_OF(at) * ERA_STEP + row_at[at]));
         apply_full_read(at)
       :: row_at[at] == 0 ->
         if
         :: at > last_lacking[ERA_OF(at)] -> last_lacking[ERA_OF(at)] = at
         :: else
         fi;
         apply_full_read(at)
       fi;
       check();
       at = 0
     }
  :: atomic {                      /* code: gateway.evacuations.Evacuations.end_missing */
       in_force && is_missing ->
         in_force = false;
         is_missing = false;
         is_over = true
     }
  od
}

inline note() {
  exists[POSITION] = true;
  row_at[POSITION] = row_version
}

proctype Operator() {
end:
  do
  :: atomic { version < VERSIONS -> version++; note() }
  :: atomic {
       version < VERSIONS ->
         version++;
         row_version = version;
         note();
         is_write[POSITION] = true
     }
  :: atomic {
       version < VERSIONS && row_version != 0 ->
         version++;
         row_version = 0;
         note();
         is_removal[POSITION] = true
     }
  :: atomic {
       era < RESTORES && version > 1 ->
         row_version = row_at[POSITION - 1];
         version--;
         era++;
         note()
     }
  :: atomic {
       era < RESTORES && version > 2 ->
         row_version = row_at[POSITION - 2];
         version = version - 2;
         era++;
         note()
     }
  od
}

init {
  atomic {
    note();
    run Gateway();
    run Operator()
  }
}
