"""How a caller wants the tokens of an answer to be chosen.

By default the most likely token is taken.  With a temperature above 0 tokens are
drawn, and the draw depends on nothing but the seed: an attempt that goes on at
another backend server draws the same tokens.
"""

import secrets
from typing import Final, Self

from quincecrank import configuration

MAX_TEMPERATURE: Final = 2.0
MAX_STOP_TEXTS: Final = 4
MAX_STOP_CHARACTERS: Final = 256
MAX_SEED: Final = 2**31 - 1


class Sampling(configuration.FrozenModel):
    """Choice of tokens and end of an answer.

    Attributes
    ----------
    temperature : float
        0 for the most likely token.
    top_p : float
        Share of the probability that tokens are drawn from.
    seed : int or None
        None when the caller named none.
    stop : tuple of str
        Texts before the first of which the answer ends.
    """

    temperature: float = 0.0
    top_p: float = 1.0
    seed: int | None = None
    stop: tuple[str, ...] = ()

    def seeded(self) -> Self:
        """Return the same choice with a seed where one is needed."""
        if not self.temperature or self.seed is not None:
            return self
        return self.model_copy(update={"seed": secrets.randbelow(MAX_SEED)})

    def to_text(self) -> str:
        """Return the JSON of what differs from the default, empty for nothing."""
        return "" if self == DEFAULT else self.model_dump_json(exclude_defaults=True)

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Return what `to_text` gave; raises `ValueError` for other text."""
        return cls.model_validate_json(text) if text else cls()


DEFAULT: Final = Sampling()
