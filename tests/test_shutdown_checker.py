"""Tests of the checker of shutdowns, each with a record that breaks a rule."""

import unittest
from typing import Any

from standins import platform_kept_callers as kept_callers
from tests import shutdown_checker

SIGNALLED_MS = 100_000.0
GATEWAY = "entry-0"
TERMINATE = shutdown_checker.Operation(
    SIGNALLED_MS, GATEWAY, shutdown_checker.Act.TERMINATE
)


def request(sent_ms: float, lasted_ms: float, **more: Any) -> kept_callers.Request:
    """Return a record, closed without an answer; `sent_ms` is since the signal."""
    fields: dict[str, Any] = {
        "request_id": "q",
        "gateway": GATEWAY,
        "kind": kept_callers.Kind.RECORD,
        "is_kept": True,
        "ending": kept_callers.Ending.CLOSED,
        **more,
    }
    sent_ms += SIGNALLED_MS
    return kept_callers.Request(sent_ms=sent_ms, ended_ms=sent_ms + lasted_ms, **fields)


def servers(*lines: str) -> shutdown_checker.ServerRecord:
    """Return the record of a server with these lines in its log."""
    return shutdown_checker.read_logs(["\n".join(lines)])


def at(since_signal_ms: float) -> str:
    """Return a time of a server's log."""
    return f"{SIGNALLED_MS + since_signal_ms:.0f}"


class LostTest(unittest.TestCase):
    def check(
        self,
        lost: bool,
        made: kept_callers.Request,
        *lines: str,
        operation: shutdown_checker.Operation = TERMINATE,
    ) -> None:
        found = shutdown_checker.lost_answers([made], servers(*lines), [operation])
        self.assertEqual([each[:5] for each in found], ["LOST:"] * lost)

    def test_unread_requests(self) -> None:
        self.check(True, request(2_000, 201))
        self.check(False, request(2_000, 200))
        self.check(True, request(2_000, 201, ending=kept_callers.Ending.RESET))
        self.check(False, request(2_000, 201, ending=kept_callers.Ending.COMPLETE))
        self.check(False, request(2_000, 201, ending=kept_callers.Ending.ABANDONED))
        self.check(False, request(2_000, 201, gateway="entry-1"))

    def test_requests_that_were_passed_on(self) -> None:
        self.check(True, request(2_000, 50), f"arrived {at(2_010)} id=q")
        self.check(False, request(2_000, 50), f"arrived {at(2_010)} id=other")
        broken = f"arrived {at(2_010)} id=q", f"broke {at(2_020)} id=q"
        self.check(False, request(2_000, 50), *broken)

    def test_the_deadline(self) -> None:
        self.check(True, request(-2_000, 6_999))
        self.check(False, request(-2_000, 7_000))

    def test_the_time_of_a_shutdown(self) -> None:
        self.check(True, request(7_000, 2_000))
        self.check(False, request(7_000, 2_001))
        self.check(False, request(-500, 499))

    def test_a_server_at_work_late_in_the_grace_time(self) -> None:
        arrived = f"arrived {at(3_000)} id=q"
        self.check(False, request(3_000, 4_000), arrived)
        self.check(False, request(3_000, 4_000), arrived, f"ended {at(6_700)} id=q")
        self.check(True, request(3_000, 4_000), arrived, f"ended {at(6_600)} id=q")
        self.check(True, request(3_000, 3_600), arrived)
        self.check(True, request(3_001, 4_000), arrived)
        self.check(True, request(3_000, 4_000))

    def test_reloads(self) -> None:
        reload = shutdown_checker.Operation(
            SIGNALLED_MS, GATEWAY, shutdown_checker.Act.RELOAD
        )
        self.check(True, request(2_000, 300), operation=reload)
        self.check(False, request(2_001, 300), operation=reload)
        self.check(False, request(-500, 300), operation=reload)

    def test_changes_of_the_configuration(self) -> None:
        operations = [
            shutdown_checker.Operation(SIGNALLED_MS, "", shutdown_checker.Act.WRITE),
            shutdown_checker.Operation(
                SIGNALLED_MS + 10, "", shutdown_checker.Act.ACKNOWLEDGE
            ),
        ]
        complete = kept_callers.Ending.COMPLETE
        others = [request(at_ms, 10, ending=complete) for at_ms in (-900, -800, 100)]
        cut = request(200, 300)

        def count(*made: kept_callers.Request) -> int:
            return len(
                shutdown_checker.lost_beside_configurations(made, servers(), operations)
            )

        self.assertEqual(count(*others, cut), 1)
        self.assertEqual(count(*others, request(200, 6_000)), 0)
        self.assertEqual(count(*others, cut, request(-900, 300)), 0)
        self.assertEqual(count(*others, request(4_000, 300)), 0)


class OtherRulesTest(unittest.TestCase):
    def test_late_unrepeatable_requests(self) -> None:
        lines = f"arrived {at(3_010)} id=q", f"ended {at(7_500)} id=q"

        def count(made: kept_callers.Request, *more: str) -> int:
            record = servers(*lines, *more)
            return len(shutdown_checker.cut_late_requests([made], record, [TERMINATE]))

        self.assertEqual(count(request(3_001, 4_900)), 1)
        self.assertEqual(count(request(3_000, 4_900)), 0)
        self.assertEqual(count(request(3_001, 4_900, request_id="other")), 0)
        look = kept_callers.Kind.LOOK
        self.assertEqual(count(request(3_001, 4_900, kind=look)), 0)
        complete = kept_callers.Ending.COMPLETE
        self.assertEqual(count(request(3_001, 4_900, ending=complete)), 0)
        self.assertEqual(count(request(3_001, 4_900), f"broke {at(5_000)} id=q"), 0)

    def test_repeated_runs(self) -> None:
        def count(made: kept_callers.Request, *lines: str) -> int:
            return len(shutdown_checker.repeated_runs([made], servers(*lines)))

        self.assertEqual(count(request(0, 10), "ran q", "ran q"), 1)
        self.assertEqual(count(request(0, 10), "ran q", "ran other"), 0)
        look = request(0, 10, kind=kept_callers.Kind.LOOK)
        self.assertEqual(count(look, "ran q", "ran q"), 0)

    def test_requests_answered_as_not_run(self) -> None:
        def count(status: int, *lines: str) -> int:
            complete = kept_callers.Ending.COMPLETE
            made = request(0, 10, status=status, ending=complete)
            return len(shutdown_checker.refused_runs([made], servers(*lines)))

        self.assertEqual(count(503, "ran q"), 1)
        self.assertEqual(count(429, "ran q"), 1)
        self.assertEqual(count(504, "ran q"), 0)
        self.assertEqual(count(503, "ran other"), 0)

    def test_a_gateway_that_had_to_be_killed(self) -> None:
        killed = shutdown_checker.Operation(
            SIGNALLED_MS + 8_000, GATEWAY, shutdown_checker.Act.KILL
        )
        self.assertEqual(len(shutdown_checker.late_ends([TERMINATE, killed])), 1)
        self.assertEqual(shutdown_checker.late_ends([TERMINATE]), [])
