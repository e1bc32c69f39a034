"""Checks that the tests with processes can fail: each mutation must fail its test.

Prints one line for each pair, and exits with 1 if a test passes with its mutation.
"""

import concurrent.futures
import os
import subprocess
import sys
from typing import Final

MAX_CONCURRENT_TESTS: Final = 2
TIMEOUT_S: Final = 180

_ONCE: Final = "tests.process_at_most_once.AtMostOnceTest"
_PROMPTS: Final = "tests.process_prompts.PromptsTest"
_LEAVING: Final = "tests.process_leaving.LeavingTest"
_CONFIGURATION: Final = "tests.process_configuration.ConfigurationTest"
_BLOCKS: Final = "tests.process_blocks.BlocksTest"
_LINKS: Final = "tests.process_links.LinksTest"
_BOUNDS: Final = "tests.process_bounds.BoundsTest"
_CRASH_PARTS: Final = "tests.process_crash_parts.CrashPartTest"
_STREAMS: Final = "tests.process_streams.StreamsTest"
_SAME_WEIGHTS: Final = "tests.process_streams.SameWeightsTest"
_SHUTDOWNS: Final = "tests.process_shutdown_soak.OtherShutdownsTest"
_LOST_AT_SHUTDOWN: Final = (
    f"{_SHUTDOWNS}.test_requests_at_gateways_that_shut_down_were_lost"
)
_LEAVING_STREAMS: Final = "tests.process_leaving_streams.LeavingStreamsTest"
_LOST_AT_LEAVING: Final = (
    f"{_LEAVING_STREAMS}.test_streams_at_gateways_that_shut_down_were_lost"
)
_RESOURCES: Final = "tests.process_resources.ResourcesTest"
_CONFIGURATION_CHANGES: Final = (
    "tests.process_configuration_changes.ConfigurationChangesTest"
)
_REMOVALS: Final = (
    "tests.process_removals.RemovalsTest"
    ".test_removals_long_after_an_outage_were_taken_for_expiries"
)
_EXPLORER: Final = "tests.process_explorer.ExplorerTest"

TESTS: Final = (
    ("claim-what-is-taken", f"{_ONCE}.test_answers_of_the_service_are_lost"),
    ("admit-started", f"{_ONCE}.test_an_agent_is_killed"),
    ("say-not-run", f"{_ONCE}.test_an_agent_is_killed"),
    ("reuse-stream-numbers", f"{_PROMPTS}.test_many_prompts_at_once"),
    ("share-one-salt", f"{_PROMPTS}.test_equal_prompts_of_two_accounts_share_nothing"),
    ("answer-from-the-start", f"{_PROMPTS}.test_an_engine_is_killed"),
    ("forget-crashes", f"{_PROMPTS}.test_a_prompt_that_crashes_its_engine"),
    ("keep-crashes-apart", f"{_PROMPTS}.test_a_prompt_that_crashes_its_engine"),
    ("stop-at-once", f"{_LEAVING}.test_agents_shut_down_under_load"),
    ("stop-at-once", f"{_LEAVING}.test_an_entry_shuts_down_under_load"),
    (
        "stop-at-once",
        f"{_LEAVING}.test_an_entry_shuts_down_while_a_caller_reads_slowly",
    ),
    ("stop-at-once", f"{_LEAVING}.test_an_agent_shuts_down_with_unsent_bytes"),
    ("ignore-leaving", f"{_LEAVING}.test_leaving_vms_get_no_work"),
    ("ignore-leaving", f"{_LEAVING}.test_drained_vms_get_no_work"),
    ("never-learn", f"{_CONFIGURATION}.test_operators_race"),
    ("forget-configuration", f"{_CONFIGURATION}.test_operators_race"),
    ("open-any-block", f"{_BLOCKS}.test_torn_writes"),
    ("count-attempts", f"{_EXPLORER}.test_pairs_of_faults"),
    ("trust-silence", f"{_LINKS}.test_links_to_an_agent_go_silent"),
    ("retry-without-bound", f"{_BOUNDS}.test_retries_under_overload"),
    ("hold-without-table", f"{_BOUNDS}.test_the_table_is_out"),
    (
        "count-whole-requests",
        f"{_CRASH_PARTS}"
        ".test_requests_with_one_part_crashed_one_server_after_the_other",
    ),
    (
        "blame-first-parts",
        f"{_CRASH_PARTS}"
        ".test_requests_with_one_part_crashed_one_server_after_the_other",
    ),
    (
        "ignore-software-versions",
        f"{_STREAMS}.test_streams_were_joined_from_two_software_versions",
    ),
    (
        "ignore-first-attempts",
        f"{_SAME_WEIGHTS}.test_resumed_streams_and_answers_of_sound_servers_were_lost",
    ),
    (
        "admit-by-own-starts",
        "tests.test_shared_admission.BurstTest"
        ".test_a_burst_was_paid_for_by_short_prompts_and_rejected_twice",
    ),
    (
        "leave-silent-servers",
        f"{_SAME_WEIGHTS}.test_resumed_streams_and_answers_of_sound_servers_were_lost",
    ),
    ("serve-outdated-weights", f"{_STREAMS}.test_runs_began_on_outdated_weights"),
    ("close-unread-connections", _LOST_AT_SHUTDOWN),
    ("close-waiting-connections", _LOST_AT_SHUTDOWN),
    ("begin-anything", _LOST_AT_SHUTDOWN),
    ("exit-at-fixed-time", _LOST_AT_SHUTDOWN),
    ("cut-by-earliest-bound", _LOST_AT_LEAVING),
    ("end-by-earliest-bound", _LOST_AT_LEAVING),
    ("cut-before-reading", _LOST_AT_LEAVING),
    ("drop-unsent-bytes", _LOST_AT_LEAVING),
    (
        "count-from-notice",
        f"{_LEAVING_STREAMS}.test_gateways_took_a_wrong_time_for_the_signal",
    ),
    (
        "accept-any-connection",
        f"{_RESOURCES}.test_waiting_callers_kept_requests_from_being_answered",
    ),
    (
        "hold-any-bytes",
        "tests.process_resources.EndlessAnswersTest"
        ".test_answers_without_an_end_came_to_more_than_the_memory",
    ),
    (
        "read-chunks-by-library",
        "tests.process_client_limits.ClientLimitsTest"
        ".test_chunks_of_16_bytes_kept_others_from_an_answer",
    ),
    (
        "parse-any-heads",
        "tests.process_client_limits.ClientLimitsTest"
        ".test_heads_of_many_lines_kept_others_from_an_answer",
    ),
    ("forget-regained-stores", _REMOVALS),
    ("ignore-evacuations", _REMOVALS),
    ("ignore-cold-servers", _REMOVALS),
    (
        "ignore-peers-changes",
        f"{_CONFIGURATION_CHANGES}"
        ".test_confirmed_configurations_were_not_in_force_in_time",
    ),
    (
        "return-to-older-versions",
        f"{_CONFIGURATION_CHANGES}"
        ".test_confirmed_configurations_were_not_in_force_in_time",
    ),
    (
        "accept-malformed-configurations",
        f"{_CONFIGURATION_CHANGES}"
        ".test_confirmed_configurations_were_not_in_force_in_time",
    ),
    (
        "reject-added-routes",
        f"{_CONFIGURATION_CHANGES}"
        ".test_confirmed_configurations_were_not_in_force_in_time",
    ),
    (
        "notice-signals-late",
        f"{_SHUTDOWNS}.test_gateways_did_not_end_within_the_grace_time",
    ),
    (
        "trust-lease-times-of-any-era",
        "tests.test_lease_handover.KilledGatewaysTest"
        ".test_two_holders_ordered_one_engine_within_the_required_time",
    ),
    (
        "order-engines-handed-over",
        "tests.test_lease_handover.FaultsTest"
        ".test_two_holders_ordered_one_engine_within_the_required_time",
    ),
    (
        "ignore-stored-times",
        "tests.test_stored_service_times.StoredServiceTimesTest"
        ".test_gateways_knew_no_service_times_after_the_loss_of_all",
    ),
    (
        "choose-lowest-estimates",
        "tests.test_even_placement.ChoiceTest"
        ".test_gateways_share_engines_whose_difference_unseen_work_explains",
    ),
)


def run_one(mutation: str, test: str) -> tuple[bool, str]:
    """Run a test with a mutation; return whether a check failed, and the output."""
    environment = {**os.environ, "QUINCE_MUTATION": mutation}
    command = [sys.executable, "-m", "unittest", test]
    try:
        done = subprocess.run(
            command, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return False, "timed out"
    return "\nFAIL: " in f"\n{done.stderr}", done.stdout + done.stderr


def main() -> int:
    """Run the mutations named by the arguments, or all; return the exit code."""
    chosen = [pair for pair in TESTS if not sys.argv[1:] or pair[0] in sys.argv[1:]]
    unnoticed_count = 0
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_TESTS) as pool:
        results = pool.map(run_one, *zip(*chosen, strict=True))
        for (mutation, test), (failed, output) in zip(chosen, results, strict=True):
            print(f"{mutation:<24} {test}: {'noticed' if failed else 'UNNOTICED'}")
            if not failed:
                unnoticed_count += 1
                print(output[-1000:])
            sys.stdout.flush()
    print(f"{len(chosen) - unnoticed_count} mutations noticed, {unnoticed_count} not")
    return 1 if unnoticed_count else 0


if __name__ == "__main__":
    sys.exit(main())
