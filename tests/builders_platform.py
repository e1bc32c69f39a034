"""Builders of test data about requests, agents and configuration rows."""

from quincecrank import (
    attempt_claims,
    attempt_records,
    configuration,
    ids,
    registration,
)

ACCOUNT = ids.AccountName("newsroom-1")


def identity(
    key: str = "release-1", account: str = ACCOUNT, fingerprint: str = "f1"
) -> attempt_records.RequestIdentity:
    return attempt_records.RequestIdentity(ids.AccountName(account), key, fingerprint)


def claim_request(
    attempt: str,
    of: attempt_records.RequestIdentity | None = None,
    time_left_ms: int = 1000,
) -> attempt_claims.ClaimRequest:
    return attempt_claims.ClaimRequest(
        of or identity(), ids.AttemptId(attempt), time_left_ms
    )


def outcome(body: bytes = b'{"number": 1}') -> attempt_records.RecordedAnswer:
    header = attempt_records.Header(name="Content-Type", value="application/json")
    return attempt_records.RecordedAnswer(status=201, headers=(header,), body=body)


def agent_identity(
    incarnation: str, server: str = "prasaran-1"
) -> registration.AgentIdentity:
    return registration.AgentIdentity(
        backend_server=ids.BackendServerName(server),
        incarnation=ids.Incarnation(incarnation),
        address="127.0.0.1",
        port=7000,
    )


def configuration_row(
    version: int, proposal: str = "", account: str = ""
) -> configuration.ConfigurationRow:
    name = ids.AccountName(account or f"account-{version}")
    write = configuration.entity_write(
        configuration.EntityKind.ACCOUNT, name, configuration.Account(name=name)
    )
    return configuration.ConfigurationRow(
        version=ids.ConfigurationVersion(version),
        proposal_id=ids.ProposalId(proposal or f"proposal-{version}"),
        operator="op",
        command="create account",
        wall_ms=0,
        writes=(write,),
    )
