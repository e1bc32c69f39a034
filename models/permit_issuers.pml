/*
 * A gateway that supports issuers of permits for one server, with changing views.
 *
 * By its view of the fleet, one of two issuers is the first in the ranking; the view
 * changes at any time.  While the server has a limit at the gateway, it reports the
 * issuer that it supports.  A limit ends and begins again at any time: a cold server
 * becomes warm and cold anew.  A report is lost, or takes any time.  The gateway may
 * start again and then knows nothing.  Time passes in ticks.
 *
 * Checked: never do both issuers count the gateway.  So, whatever the views of any
 * number of gateways, the issuers together count no more supporters than there are
 * gateways, and the shares of the limit by which they issue add up to the limit.
 */

#define NONE 2
#define SUPPORT 2                  /* ticks in which a report counts */
#define OLD 9                      /* no report is under way */

byte view;                         /* issuer that is the first in the ranking */
byte issuer = NONE;                /* NONE: the server has no limit here */
byte pause;                        /* ticks until the gateway supports its issuer */
byte former = NONE;                /* issuer when the limit ended */
byte former_pause;
byte former_counts;                /* ticks in which it may count this gateway */
byte blocked = SUPPORT;            /* ticks after a start */

byte report_age = OLD;             /* age of a report under way; OLD: there is none */
byte report_to;
byte counted_age[2];               /* by issuer, from the sending */

#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* code: gateway.send_permits.SendPermits._choose_issuer */
inline choose() {
  if
  :: issuer != view ->
    if
    :: issuer != NONE ->
#ifdef MUTANT_SUPPORTS_AT_ONCE
      pause = 0
#else
      pause = SUPPORT
#endif
    :: else ->
      pause = blocked;
#ifndef MUTANT_FORGETS_FORMER_ISSUER
      if
      :: former == NONE
      :: former == view -> pause = MAX(pause, former_pause)
      :: else -> pause = MAX(pause, former_counts)
      fi
#endif
    fi;
    issuer = view;
    forget_former()
  :: else
  fi
}

inline forget_former() {
  former = NONE;
  former_pause = 0;
  former_counts = 0
}

/* code: gateway.send_permits.SendPermits._remove_unlimited */
inline end_limit() {
  former = issuer;
  former_pause = pause;
  former_counts = (pause == 0 -> SUPPORT : pause);
  issuer = NONE;
  pause = 0
}

/* code: gateway.send_permits.SendPermits.apply_issuer_reports */
inline deliver() {
#ifdef MUTANT_COUNTS_FROM_ARRIVAL
  counted_age[report_to] = 0;
#else
  if
  :: report_age < counted_age[report_to] ->
    counted_age[report_to] = report_age
  :: else
  fi;
#endif
  report_age = OLD;
  report_to = 0
}

/* code: gateway.send_permits.SendPermits._supporter_fraction */
inline check() {
  assert(counted_age[0] >= SUPPORT || counted_age[1] >= SUPPORT)
}

proctype Gateway() {
end:
  do
  /* code: gateway.send_permits.SendPermits.set_gateways */
  :: atomic { view = 1 - view; if :: issuer != NONE -> choose() :: else fi }
  :: atomic { issuer != NONE -> end_limit() }
  :: atomic { issuer == NONE -> choose() }
  :: atomic {                      /* code: gateway.send_permits.SendPermits._supported */
       issuer != NONE && pause == 0 && report_age == OLD ->
         report_age = 0;
         report_to = issuer
     }
  :: atomic { report_age != OLD -> deliver(); check() }
  :: atomic { report_age != OLD -> report_age = OLD; report_to = 0 }
  :: atomic {                      /* it starts again */
       issuer = NONE;
       pause = 0;
       forget_former();
       blocked = SUPPORT
     }
  od
}

#define PASS(age, limit) if :: age < limit -> age++ :: else fi
#define COUNT_DOWN(ticks) if :: ticks > 0 -> ticks-- :: else fi

inline pass() {
  COUNT_DOWN(pause);
  COUNT_DOWN(former_pause);
  COUNT_DOWN(former_counts);
  COUNT_DOWN(blocked);
  if
  :: former_counts == 0 -> forget_former()
  :: else
  fi;
  if
  :: report_age < SUPPORT -> report_age++
  :: else
  fi;
  PASS(counted_age[0], SUPPORT);
  PASS(counted_age[1], SUPPORT)
}

proctype Time() {
end:
  do
  :: atomic { pass() }
  od
}

init {
  atomic {
    counted_age[0] = SUPPORT;
    counted_age[1] = SUPPORT;
    run Gateway();
    run Time()
  }
}
