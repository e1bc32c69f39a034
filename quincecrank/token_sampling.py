"""Sampling parameters of a request.

By default the most likely token is chosen.  With a temperature above 0 tokens are
sampled, and the choice depends only on the seed, so that an attempt that continues on
another backend server samples the same tokens.
"""

import secrets
from typing import Final, Self

from quincecrank import configuration

MAX_TEMPERATURE: Final = 2.0
MAX_STOP_TEXTS: Final = 4
MAX_STOP_CHARACTERS: Final = 256
MAX_SEED: Final = 2**31 - 1


class Sampling(configuration.FrozenModel):
    """How the tokens of an answer are chosen and where it ends.

    Attributes
    ----------
    temperature : float
        0 always chooses the most likely token.
    top_p : float
        Tokens are sampled from the most likely ones that together have this
        probability.
    seed : int or None
        None if the caller specified none.
    stop : tuple of str
        The answer ends before the first occurrence of any of these texts.
    """

    temperature: float = 0.0
    top_p: float = 1.0
    seed: int | None = None
    stop: tuple[str, ...] = ()

    def seeded(self) -> Self:
        """Return these parameters with a random seed if one is needed and missing."""
        if not self.temperature or self.seed is not None:
            return self
        return self.model_copy(update={"seed": secrets.randbelow(MAX_SEED)})

    def to_text(self) -> str:
        """Return the fields that differ from the default as JSON, or an empty text."""
        return "" if self == DEFAULT else self.model_dump_json(exclude_defaults=True)

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Parse a text of `to_text`; raises `ValueError` if it is malformed."""
        return cls.model_validate_json(text) if text else cls()


DEFAULT: Final = Sampling()
