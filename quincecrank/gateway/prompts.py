"""Descriptions of prompts, as callers send them beside a request's body."""

import dataclasses
from typing import NewType

from quincecrank.gateway import deployment

PartId = NewType("PartId", str)


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; equal ids stand for equal text."""

    part_id: PartId
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a model request asks of an engine.

    Attributes
    ----------
    input_tokens, max_output_tokens : int
        Size of the prompt, and the most tokens that may be generated.
    parts : tuple of PromptPart
        The prompt in order.  The last part belongs to the request itself or to
        its session, the others are shared with further requests.
    expected_output_tokens : int or None
        The caller's estimate; right at the median, often far off.
    """

    model: deployment.ModelName
    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int | None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def output_tokens(self) -> int:
        """Tokens that are expected to be generated."""
        expected = self.expected_output_tokens
        if expected is None:
            return self.max_output_tokens
        return min(expected, self.max_output_tokens)

    @property
    def memory_tokens(self) -> int:
        """Engine memory that the request is expected to need at its end."""
        return self.input_tokens + self.output_tokens
