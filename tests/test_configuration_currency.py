"""Tests of which configuration a gateway may answer by."""

import unittest

from quincecrank.gateway import configuration_currency
from tests import builders_gateway as builders
from tests import gateway_case as case

APPLY_MS = 4_000
SERVED_MS = int(APPLY_MS * configuration_currency.SERVED_FRACTION)


class ConfigurationCurrencyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.currency = configuration_currency.ConfigurationCurrency(APPLY_MS)
        self.currency.record_in_force(12, 0, None)

    def test_a_version_never_decreases(self) -> None:
        for version in (12, 11, 1):
            self.assertFalse(self.currency.accepts(version))
            with self.assertRaises(ValueError):
                self.currency.record_in_force(version, 10, None)
        self.assertEqual(self.currency.version, 12)

    def test_a_newer_version_that_does_not_arrive_ends_serving(self) -> None:
        for now_ms in range(1_000, 1_000 + SERVED_MS, 300):
            self.currency.record_report(15, now_ms - 1_000, now_ms)
            self.assertTrue(self.currency.may_serve(now_ms))
        late_ms = 1_000 + SERVED_MS
        self.currency.record_report(15, SERVED_MS, late_ms)
        self.assertFalse(self.currency.may_serve(late_ms))
        self.currency.record_in_force(15, late_ms, None)
        self.assertTrue(self.currency.may_serve(late_ms))

    def test_the_time_counts_from_the_first_gateway_that_had_the_version(self) -> None:
        self.currency.record_report(15, SERVED_MS, 9_000)
        self.assertFalse(self.currency.may_serve(9_000))

    def test_a_later_version_does_not_restart_the_time(self) -> None:
        self.currency.record_report(15, 0, 1_000)
        self.currency.record_report(16, 0, 1_000 + SERVED_MS)
        self.currency.record_report(15, SERVED_MS, 1_000 + SERVED_MS)
        self.assertFalse(self.currency.may_serve(1_000 + SERVED_MS))

    def test_the_time_of_a_later_version_counts_by_itself(self) -> None:
        self.currency.record_report(15, 0, 1_000)
        self.currency.record_report(16, 0, 2_500)
        self.currency.record_in_force(15, 2_600, None)
        self.assertEqual(self.currency.newer_since_ms(2_600), 2_500)

    def test_a_version_that_no_live_peer_has_does_not_end_serving(self) -> None:
        self.currency.record_report(15, 0, 1_000)
        self.assertGreater(SERVED_MS, configuration_currency.EVIDENCE_RETENTION_MS)
        self.assertTrue(self.currency.may_serve(1_000 + SERVED_MS))

    def test_a_version_that_a_restored_store_lacks_does_not_end_serving(self) -> None:
        self.currency.record_report(15, 0, 1_000)
        self.currency.record_store_read(12, 1_500)
        self.currency.record_report(15, 8_000, 9_000)
        # Without a restore the store can't lack it: the read was late.
        self.assertFalse(self.currency.may_serve(9_000))
        self.currency.handle_restore(9_000)
        self.assertFalse(self.currency.may_serve(9_000))
        self.currency.record_store_read(12, 9_000)
        self.assertTrue(self.currency.may_serve(9_000))
        self.assertIsNone(self.currency.newer_since_ms(9_000))
        # The operator has written it again.
        self.currency.record_report(16, 0, 9_500)
        self.assertTrue(self.currency.may_serve(9_500))
        self.currency.record_report(16, SERVED_MS, 9_500 + SERVED_MS)
        self.assertFalse(self.currency.may_serve(9_500 + SERVED_MS))

    def test_the_delay_counts_from_the_earliest_known_time(self) -> None:
        self.assertIsNone(self.currency.delay_ms)
        self.currency.record_report(15, 200, 1_000)
        self.currency.record_in_force(15, 1_500, 1_400)
        self.assertEqual(self.currency.delay_ms, 700)

    def test_routes_are_refused_only_if_the_version_is_confirmed(self) -> None:
        self.assertTrue(self.currency.may_refuse(APPLY_MS - 1))
        self.assertFalse(self.currency.may_refuse(APPLY_MS))
        self.assertFalse(self.currency.may_refuse(None))


class OutdatedGatewayTest(case.GatewayCase):
    async def test_routes_were_refused_by_an_outdated_configuration(self) -> None:
        """They had been confirmed 7 s before, and peers had them."""
        for path in ("/new/", "/record/"):
            with self.subTest(path):
                got = await self.ask(path)
                self.assertNotEqual(got.headers.get("Connection"), "close")
        now_ms = self.clock.now_ms()
        self.fleet.currency.record_report(99, APPLY_MS, now_ms)
        for path in ("/new/", "/record/"):
            with self.subTest(path):
                got = await self.ask(path)
                self.assertEqual(got.status, 503)
                self.assertIn(b"outdated", got.body)
                self.assertEqual(got.headers["Connection"], "close")

    async def test_a_gateway_that_knows_nothing_refused_routes_and_keys(self) -> None:
        """Neither it nor a peer had had an answer of the store for some time."""
        self.assertEqual((await self.ask("/new/")).status, 404)
        self.fleet.confirmed_age_ms = lambda: None
        got = await self.ask("/new/")
        self.assertEqual((got.status, got.headers["Retry-After"]), (503, "0.500"))

    async def test_a_request_was_answered_before_the_change_that_waited(self) -> None:
        """The event loop reached the request before the datagram."""
        document = builders.make_configuration_document(8)
        document["routes"] = []

        def receive() -> None:
            self.configure_from(document)

        self.fleet.receive_waiting = receive
        self.assertEqual((await self.ask("/record/")).status, 404)
