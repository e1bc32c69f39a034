"""API keys of client accounts and tokens of operators.

The configuration stores only digests of API keys.  A key has 256 random bits and
cannot be guessed, so one round of SHA-256 protects it and no slow password hash is
needed.
"""

import dataclasses
import hashlib
import hmac
import secrets
from collections.abc import Callable
from typing import Final

from quincecrank import configuration, ids, settings

KEY_PREFIX: Final = "sk-"
MAX_CREDENTIAL_CHARACTERS: Final = 512
_KEY_BYTES: Final = 32
_KEY_ID_BYTES: Final = 5
_BEARER: Final = "bearer "


@dataclasses.dataclass(frozen=True)
class NewKey:
    """A newly generated key.

    Attributes
    ----------
    key : str
        The secret; it is shown once and stored nowhere.
    stored : ApiKey
        Public id and digest, which the configuration stores.
    """

    key: str = dataclasses.field(repr=False)
    stored: configuration.ApiKey


KeySource = Callable[[], NewKey]


def digest(credential: str) -> str:
    """Return the SHA-256 of a key or token in hex."""
    return hashlib.sha256(credential.encode("utf-8", "surrogatepass")).hexdigest()


def new_key() -> NewKey:
    """Return a random API key with a public id."""
    key = KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)
    key_id = ids.KeyId("key-" + secrets.token_hex(_KEY_ID_BYTES))
    return NewKey(key, configuration.ApiKey(key_id=key_id, digest=digest(key)))


def bearer_credential(authorization: str | None) -> str | None:
    """Return the bearer credential of an Authorization header, None if it has none."""
    if authorization is None:
        return None
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return None
    credential = authorization[len(_BEARER) :].strip()
    if not credential or len(credential) > MAX_CREDENTIAL_CHARACTERS:
        return None
    return credential


class AccountKeys:
    """The API keys of one configuration version.

    Parameters
    ----------
    current : Configuration
        The configuration whose keys are indexed by digest.
    """

    def __init__(self, current: configuration.Configuration) -> None:
        self.version = current.version
        self._account_by_digest = {
            key.digest: account
            for account in current.accounts_by_name.values()
            for key in account.keys
        }

    def find(self, key: str) -> configuration.Account | None:
        """Return the account that `key` belongs to, also when it is disabled."""
        presented = digest(key)
        account = self._account_by_digest.get(presented)
        if account is None:
            return None
        matches = [hmac.compare_digest(presented, k.digest) for k in account.keys]
        return account if any(matches) else None


class OperatorTokens:
    """Operator tokens of the administration API.

    Parameters
    ----------
    operators : tuple of Operator
        Operators with the files of their tokens; each file is read once.
    """

    def __init__(self, operators: tuple[settings.Operator, ...]) -> None:
        self._digest_by_operator = {
            operator.name: hashlib.sha256(
                settings.read_secret(operator.token_file)
            ).hexdigest()
            for operator in operators
        }

    def find(self, token: str) -> str | None:
        """Return the name of the operator whose token this is, or None."""
        presented = digest(token)
        found = None
        for name, expected in self._digest_by_operator.items():
            if hmac.compare_digest(presented, expected):
                found = name
        return found
