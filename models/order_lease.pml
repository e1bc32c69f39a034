/*
 * The lease under which one gateway sends orders to engines.
 *
 * The lease is a row of the store with a version.  A put takes effect at any time
 * after it was sent, even if its sender no longer waits for the answer, but only if
 * the row still has the version that the sender expects.  A gateway may pause at any
 * point for any time.  An order arrives at most MARGIN after it was sent: the engine
 * itself refuses later ones, which is not part of this model.
 *
 * A restore returns the store to a snapshot: its era rises, and its version falls to
 * any earlier one, so that the next puts assign the same versions again.  A position
 * is an era and a version in one number.  A put that was sent before the restore takes
 * effect after it if the row has the version that the put expects, whatever the era.
 *
 * Checked: orders of two holders arrive at least LEASE apart, and fencing numbers
 * never decrease.  All clocks run at the same rate here; in the code, the margin also
 * covers differences of their rates.
 */

#define GATEWAYS 2
#define NOBODY 7
#ifndef VERSIONS
#define VERSIONS 3
#endif
#ifndef RESTORES
#define RESTORES 0
#endif
#define ERA_STEP 4
#define POSITION (era * ERA_STEP + version)
#define ERA_OF(position) ((position) / ERA_STEP)

#ifndef VALIDITY
#define VALIDITY 2
#endif
#ifndef LEASE
#define LEASE 2
#endif
#define MARGIN 1
#ifdef MUTANT_TAKES_OVER_WITHOUT_VALIDITY
#define TAKEOVER (LEASE + MARGIN)
#else
#define TAKEOVER (VALIDITY + LEASE + MARGIN)
#endif
/* code: gateway.order_lease.OrderLease.is_valid */
#ifdef MUTANT_ORDERS_WITHOUT_VALIDITY
#define IS_VALID(g) true
#else
#define IS_VALID(g) (renewed_age[g] < VALIDITY)
#endif

mtype = { NONE, SENT, DONE };      /* state of a put */
mtype = { TAKE, RENEW };

byte version;                      /* of the row; 0 before the first put */
byte era;                          /* restores so far */

mtype put[GATEWAYS] = NONE;
mtype purpose[GATEWAYS];
byte expected[GATEWAYS];
byte sent_age[GATEWAYS];           /* ages stop at the largest bound checked */
byte answer[GATEWAYS];             /* position of the row after the put */
bool applied[GATEWAYS];            /* whether the put took effect */
bool waits[GATEWAYS];              /* for the answer of its put */

byte held[GATEWAYS];               /* position; 0: not the holder */
byte renewed_age[GATEWAYS] = VALIDITY;
byte fence[GATEWAYS];              /* fencing number of the lease held */
byte seen[GATEWAYS];               /* highest position observed */
byte seen_age[GATEWAYS];           /* time since it was observed */

bool under_way[GATEWAYS];          /* an order is in flight */
byte left_age[GATEWAYS];           /* time since the order was sent */
byte carried[GATEWAYS];            /* its fencing number */

byte last_holder = NOBODY;
byte last_age;
byte last_fence;

/*
 * code: gateway.order_lease.OrderLease.observe
 * code: gateway.order_lease.OrderLease.handle_new_era
 */
inline observe(g, position) {
  if
  :: position > seen[g] ->
    seen[g] = position;
#ifndef MUTANT_COUNTS_FROM_FIRST_SIGHT
    seen_age[g] = 0
#endif
  :: else
  fi;
  if
  :: held[g] != 0 && position > held[g] -> held[g] = 0
  :: else
  fi
}

/* code: gateway.order_lease.OrderLease._write_row */
inline send_put(g, why, expected_position) {
  put[g] = SENT;
  purpose[g] = why;
  expected[g] = expected_position;
  sent_age[g] = 0;
  waits[g] = true
}

/* Resets unused variables, to limit the states. */
inline forget_put(g) {
  put[g] = NONE;
  expected[g] = 0;
  sent_age[g] = 0;
  answer[g] = 0;
  applied[g] = false
}

#ifdef MUTANT_FENCE_WITHOUT_ERA
#define FENCE(position) ((position) % ERA_STEP)
#else
#define FENCE(position) (position)
#endif

/* In another era, the version that the put expects may belong to another write. */
#ifdef MUTANT_CHANCE_MATCH_BELIEVED
#define MET_ITS_ROW(g) true
#else
#define MET_ITS_ROW(g) (ERA_OF(answer[g]) == ERA_OF(expected[g]))
#endif
/* The answer is not from an era before one already observed. */
#define IS_IN_TIME(g) (ERA_OF(answer[g]) >= ERA_OF(seen[g]))

#ifdef MUTANT_FREE_AT_ONCE_AFTER_RESTORE
#define IS_FREE(position) ((position) % ERA_STEP == 0)
#else
#define IS_FREE(position) ((position) == 0)
#endif

/*
 * code: gateway.order_lease.OrderLease._acquire
 * code: gateway.order_lease.OrderLease._renew
 * code: gateway.order_lease.OrderLease._apply_result
 */
inline take_answer(g) {
  waits[g] = false;
  if
  :: applied[g] && MET_ITS_ROW(g) && IS_IN_TIME(g) ->
    if
    :: purpose[g] == TAKE -> fence[g] = FENCE(answer[g])
    :: else
    fi;
    held[g] = answer[g];
#ifdef MUTANT_VALID_FROM_ANSWER
    renewed_age[g] = 0;
#else
    renewed_age[g] = sent_age[g];
#endif
    if
    :: answer[g] > seen[g] ->
      seen[g] = answer[g];
      seen_age[g] = 0
    :: else
    fi
  :: else ->
    held[g] = 0;
    observe(g, answer[g])
  fi;
  forget_put(g)
}

/* code: gateway.order_lease.OrderLease.acquire_or_renew */
proctype Gateway(byte g) {
end:
  do
  :: atomic { POSITION > seen[g] -> observe(g, POSITION) }
  :: atomic {
       held[g] == 0 && put[g] == NONE && !waits[g] &&
       (IS_FREE(seen[g]) || seen_age[g] >= TAKEOVER) ->
         send_put(g, TAKE, seen[g])
     }
  :: atomic {
       held[g] != 0 && put[g] == NONE && !waits[g] -> send_put(g, RENEW, held[g])
     }
  :: atomic { waits[g] && put[g] == DONE -> take_answer(g) }
  :: atomic {                      /* the answer is lost */
       waits[g] ->
         waits[g] = false;
         held[g] = 0;
         if
         :: put[g] == DONE -> forget_put(g)
         :: else
         fi
     }
  :: atomic {
       held[g] != 0 && !under_way[g] && IS_VALID(g) ->
         under_way[g] = true;
         left_age[g] = 0;
         carried[g] = fence[g]
     }
  od
}

proctype Store() {
  byte g;
end:
  do
  :: atomic {
       version < VERSIONS && (put[0] == SENT || put[1] == SENT) ->
         if
         :: put[0] == SENT -> g = 0
         :: put[1] == SENT -> g = 1
         fi;
         applied[g] = (version == expected[g] % ERA_STEP);
#ifdef MUTANT_PUTS_BLINDLY
         applied[g] = true;
#endif
         if
         :: applied[g] -> version++
         :: else
         fi;
         answer[g] = POSITION;
         if
         :: waits[g] -> put[g] = DONE
         :: else -> forget_put(g)
         fi;
         g = 0                     /* limits the states */
     }
  od
}

/* Restores the store from a snapshot, in which the row may be missing. */
proctype Operator() {
end:
  do
  :: atomic { era < RESTORES && version > 0 -> era++; version-- }
  :: atomic { era < RESTORES -> era++; version = 0 }
  od
}

/* An engine, which receives each order once, within MARGIN. */
proctype Engine() {
  byte g;
end:
  do
  :: atomic {
       under_way[0] || under_way[1] ->
         if
         :: under_way[0] -> g = 0
         :: under_way[1] -> g = 1
         fi;
         under_way[g] = false;
         assert(last_holder == NOBODY || last_holder == g || last_age >= LEASE);
         assert(carried[g] >= last_fence);
         last_holder = g;
         last_age = 0;
         last_fence = carried[g];
         carried[g] = 0;
         left_age[g] = 0;
         g = 0
     }
  od
}

inline grow(age, most) {
  if
  :: age < most -> age++
  :: else
  fi
}

proctype Clock() {
end:
  do
  :: atomic {
       (!under_way[0] || left_age[0] < MARGIN) &&
       (!under_way[1] || left_age[1] < MARGIN) ->
         grow(sent_age[0], VALIDITY);
         grow(sent_age[1], VALIDITY);
         grow(renewed_age[0], VALIDITY);
         grow(renewed_age[1], VALIDITY);
         grow(seen_age[0], TAKEOVER);
         grow(seen_age[1], TAKEOVER);
         grow(left_age[0], MARGIN);
         grow(left_age[1], MARGIN);
         grow(last_age, LEASE)
     }
  od
}

init {
  atomic {
    run Gateway(0);
    run Gateway(1);
    run Store();
    run Operator();
    run Engine();
    run Clock()
  }
}
