"""Header names, call paths and table names of the platform's protocol."""

from typing import Final

REQUEST_ID: Final = "Request-Id"
DEADLINE: Final = "Deadline-Ms"
AUTHORIZATION: Final = "Authorization"
AUTHORIZATION_SCHEME: Final = "Token "
LAST_EVENT_ID: Final = "Last-Event-Id"
FIRST_ATTEMPT: Final = "Resumes"
RETRY_AFTER: Final = "Retry-After"

MODEL: Final = "Model"
TOKEN_COUNT: Final = "Token-Count"
PROMPT_PARTS: Final = "Prompt-Prefix"
LENGTH_HINT: Final = "Length-Hint"

ACCOUNT: Final = "Tenant"
CACHE_SALT: Final = "Cache-Salt"
EXPECTED_SERVER: Final = "Expect-Instance"
EXPECTED_WEIGHTS: Final = "Expect-Version"
URGENCY: Final = "Request-Priority"
FETCH_FROM: Final = "Kv-Fetch"
SAVE_TO: Final = "Kv-Save"
FETCH_UNTIL: Final = "Kv-Until"

SEAL: Final = "Server-Seal"
NOT_EXECUTED: Final = "Not-Executed"
SERVER_LEAVING: Final = "Server-Leaving"
SERVER_RATE_LIMIT: Final = "Server-Limit"
SERVER_ID: Final = "Instance-Id"
COLD_REMAINING: Final = "Cold-Ms"

GATEWAY_ONLY_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION, ACCOUNT, CACHE_SALT, EXPECTED_SERVER, EXPECTED_WEIGHTS,
        URGENCY, FETCH_FROM, SAVE_TO, FETCH_UNTIL, DEADLINE,
        "Hold", "Pin-Ms", "Kv-Backup", "Kv-From",
    )
)  # fmt: skip
"""Headers, in lower case, that only the gateway may set on requests to backend servers;
those of callers are removed."""

STORE_ERA: Final = "Store-Era"

CONFIGURATION_KEY: Final = "config"
WEIGHTS_KEY_PREFIX: Final = "version/"
EVACUATION_KEY_PREFIX: Final = "evacuate/"
OPERATOR_TABLE: Final = "op"
SERVERS_TABLE: Final = "servers"

ROWS_GET: Final = "/rows-get"
ROWS_FEED: Final = "/rows-feed"
ROWS_WRITE: Final = "/rows-tx"
ORDER: Final = "/order"
REPORT: Final = "/report"
CACHE_EVENTS: Final = "/kv-events"
CACHE_LIST: Final = "/kv-list"
CACHE_FREE: Final = "/kv-free"
READY: Final = "/ready"

SETTINGS_VARIABLE: Final = "QUINCECRANK_CONFIG"
