"""Help topics of `quincectl help`."""

from typing import Final

from quincecrank import command_fields, command_tables, messages

_QUERIES: Final = """\
show TABLE [where COLUMN = VALUE [and ...]] [order by COLUMN [desc]] [limit N]
show account NAME
show deployment NAME

Comparisons: = != < <= > >=. For a column that is a list, = means "contains".
Values may carry units: 5s, 200MB/s, 4GiB. Quote a value that holds spaces: "a b".

Tables and their columns:
"""

_COMMANDS: Final = """\
create account NAME [share X] [max-concurrent N]
change account NAME set FIELD = VALUE, ...
disable account NAME
enable account NAME
create key for ACCOUNT
revoke key KEYID of ACCOUNT

create deployment NAME kind model version VERSION [set FIELD = VALUE, ...]
create deployment NAME kind service [set FIELD = VALUE, ...]
change deployment NAME set FIELD = VALUE, ...
allow account NAME on DEPLOYMENT
deny account NAME on DEPLOYMENT
roll DEPLOYMENT to VERSION
create adapter NAME on DEPLOYMENT
remove adapter NAME from DEPLOYMENT
route METHOD PATH of DEPLOYMENT idempotent yes|no
remove route METHOD PATH of DEPLOYMENT

create tier NAME kind memory|disk link RATE capacity SIZE [stores VM, ...]
change tier NAME set FIELD = VALUE, ...      (a list: stores = (VM, VM))
remove tier NAME
attach tier NAME to DEPLOYMENT
detach tier NAME from DEPLOYMENT

drain VM
undrain VM

Several commands, on lines of their own or with ; between them, are one change and
are committed together or not at all. A line that ends in a comma goes on in the
next one. # starts a comment.
"""

_VERSIONS: Final = """\
Every change names the configuration version that it was decided on. If another
change came first, it is refused and the changes in between are listed.

at version 7: drain vm-1               names it in the text
quincectl run "drain vm-1" --version 7 names it beside the text

Without either, quincectl asks for the version in force just before it sends the
change, which guards against a race but not against an old decision.
"""

_UNITS: Final = """\
sizes      B kB MB GB TB (powers of 1000), KiB MiB GiB TiB (powers of 1024)
rates      a size and /s, for example 200MB/s
durations  ms s min h
"""

_EXIT_CODES: Final = """\
0  done
1  mistakes were found, nothing was changed
2  wrong usage of quincectl itself
3  refused because the version is stale, nothing was changed
4  not authenticated, nothing was changed
5  the endpoint or the platform's table is unavailable, nothing was changed
6  the outcome is unknown; look at `show history` before trying again
"""

_OVERVIEW: Final = """\
quincectl run "TEXT" [--json] [--version N]   run a query or a change
quincectl apply FILE [--json] [--version N]   run the text of a file
quincectl check FILE                          check an entry's or agent's settings
quincectl explain REQUEST_ID --logs FOLDER    tell what happened to a request
quincectl help TOPIC                          topics: {topics}

--endpoint URL and --token-file FILE say which administration API to use; the
environment variables QUINCECTL_ENDPOINT and QUINCECTL_TOKEN_FILE stand in for them.
--ca-file FILE names the certificate authority of an https endpoint.
"""


def topics() -> dict[str, str]:
    """Return the help texts by topic."""
    return {
        "queries": _QUERIES + _tables(),
        "commands": _COMMANDS,
        "fields": _fields(),
        "versions": _VERSIONS,
        "units": _UNITS,
        "exit-codes": _EXIT_CODES,
    }


def text(topic: str | None) -> str | None:
    """Return the help for a topic, None if unknown; the overview without a topic."""
    text_by_topic = topics()
    if topic is None:
        return _OVERVIEW.format(topics=", ".join(text_by_topic))
    return text_by_topic.get(topic)


def unknown_topic(topic: str) -> str:
    """Return the message for a topic that does not exist."""
    known = topics()
    unknown = messages.unknown("topic", topic, known)
    return f"{unknown} (known: {messages.alternatives(known)})"


def _tables() -> str:
    lines = []
    for table, row_type in command_tables.ROW_TYPE_BY_TABLE.items():
        columns = command_tables.columns(row_type)
        lines.append(f"  {table.value}: {', '.join(columns)}\n")
    return "".join(lines)


def _fields() -> str:
    lines = []
    for entity, fields_by_name in (
        ("account", command_fields.ACCOUNT_FIELDS_BY_NAME),
        ("deployment", command_fields.DEPLOYMENT_FIELDS_BY_NAME),
        ("tier", command_fields.TIER_FIELDS_BY_NAME),
    ):
        lines.append(f"change {entity} NAME set\n")
        for name, field in fields_by_name.items():
            only = " (model deployments only)" if field.model_only else ""
            lines.append(f"  {name} = {field.example}{only}\n")
    return "".join(lines)
