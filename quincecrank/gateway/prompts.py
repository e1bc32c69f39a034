"""Descriptions of prompts, as callers send them beside a request's body."""

import dataclasses
from typing import NewType

from quincecrank.gateway import deployment

PartId = NewType("PartId", str)


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; parts with equal ids have equal text."""

    part_id: PartId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Size and parts of the prompt of a model request.

    Attributes
    ----------
    input_tokens, max_output_tokens : int
        Size of the prompt, and the maximum number of generated tokens.
    parts : tuple of PromptPart
        The prompt in order.  The last part belongs to the request itself or to
        its session; the others are shared with other requests.
    expected_output_tokens : int or None
        The caller's estimate of the generated tokens; correct at the median, but often
        far off.
    """

    model: deployment.ModelName
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int | None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """All parts but the last, which other requests may share."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Number of tokens of the shared parts."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def output_tokens(self) -> int:
        """Expected number of generated tokens: the estimate within the maximum."""
        expected = self.expected_output_tokens
        if expected is None:
            return self.max_output_tokens
        return min(expected, self.max_output_tokens)

    @property
    def memory_tokens(self) -> int:
        """Engine memory that the request is expected to need when it ends."""
        return self.input_tokens + self.output_tokens
