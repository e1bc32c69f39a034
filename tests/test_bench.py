"""Tests of the traces, bounds and statistics of the policy experiment.

A fault here would distort the comparison of policies without any sign in the report:
policies on different load, a bound that is none, or wrong answers counted as fast ones.
"""

import unittest

from bench import load, lower_bound, measures, trace
from quincecrank import ids, tokenizers
from tests import builders_decisions as builders

SPEEDS = lower_bound.Speeds(20_000, 8e6, 64_000)


class TraceTest(unittest.TestCase):
    def test_same_seed_gives_same_trace_and_other_seed_another(self) -> None:
        for workload in trace.Workload:
            first = trace.make_trace(workload, 1)
            self.assertEqual(first, trace.make_trace(workload, 1))
            self.assertNotEqual(first, trace.make_trace(workload, 2))

    def test_arrivals_are_ordered_and_most_are_in_peaks(self) -> None:
        for seed in range(1, 6):
            traced = trace.make_trace(trace.Workload.SAJHA, seed)
            arrivals = [request.at_ms for request in traced.measured]
            self.assertEqual(arrivals, sorted(arrivals))
            peak_start_ms = trace.HOUR_MS * (1 - trace.PEAK_FRACTION)
            in_peak = [
                at_ms for at_ms in arrivals if at_ms % trace.HOUR_MS >= peak_start_ms
            ]
            self.assertGreater(len(in_peak), len(arrivals) / 2)

    def test_prompts_share_the_complete_blocks_of_their_context_only(self) -> None:
        traced = trace.make_trace(trace.Workload.TINTA_CLARA, 1)
        request = traced.measured[0]
        other = next(r for r in traced.warm_up if r.context == request.context)
        keys = builders.chain_keys(request.prompt().encode())
        others = builders.chain_keys(other.prompt().encode())
        shared = request.context.tokens // tokenizers.BLOCK_TOKENS
        self.assertEqual(keys[:shared], others[:shared])
        self.assertTrue(set(keys[shared:]).isdisjoint(others[shared:]))


class LowerBoundTest(unittest.TestCase):
    def test_only_tokens_outside_earlier_blocks_are_recomputed(self) -> None:
        traced = trace.make_trace(trace.Workload.SAJHA, 1)
        seen_contexts = {request.context for request in traced.warm_up}
        found = lower_bound.bounds(traced, SPEEDS)
        for request, bound in zip(traced.measured, found, strict=True):
            shared = request.context.tokens // tokenizers.BLOCK_TOKENS
            blocks = shared if request.context in seen_contexts else 0
            seen_contexts.add(request.context)
            reused = bound.prompt_tokens - bound.recomputed_tokens
            self.assertEqual(reused, blocks * tokenizers.BLOCK_TOKENS)
            restore_ms = blocks * SPEEDS.restore_ms(1)
            self.assertAlmostEqual(bound.restored_ms - bound.held_ms, restore_ms)


class MeasuresTest(unittest.TestCase):
    def make_run(self, *records: load.RequestRecord) -> measures.PolicyRun:
        links = measures.LinkBytes({"memory": 10}, {"memory": 5})
        return measures.PolicyRun("cost", "sajha", 1, records, (), links)

    def make_record(
        self, first_token_ms: float, cached: int, outcome: str = "answered"
    ) -> load.RequestRecord:
        return load.RequestRecord(
            1,
            ids.AccountName("a"),
            0,
            load.Outcome(outcome),
            first_token_ms=first_token_ms,
            prompt_tokens=100,
            cached_tokens=cached,
        )

    def test_percentiles_interpolate_between_values(self) -> None:
        self.assertEqual(measures.percentile([4, 1, 3, 2], 50), 2.5)
        self.assertEqual(measures.percentile([7], 95), 7)
        self.assertEqual(measures.percentile([], 95), 0)

    def test_latency_and_recomputation_count_correct_answers_only(self) -> None:
        run = self.make_run(
            self.make_record(100, 90),
            self.make_record(300, 50),
            self.make_record(0, 0, "refused"),
        )
        summary = measures.summarise([run, run])
        self.assertEqual(summary.first_token_ms[50], 200)
        self.assertAlmostEqual(summary.recomputed_share, 0.3)
        self.assertEqual(summary.counts_by_outcome, {"answered": 4, "refused": 2})
        self.assertEqual(summary.link_bytes, 30)
