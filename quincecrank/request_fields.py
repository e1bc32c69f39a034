"""Field types of the bodies of completion and chat-completion requests.

Values are not converted: a number given as a string is a mistake.
"""

from typing import Annotated, Final, Literal

import pydantic

from quincecrank import configuration, token_sampling

MAX_MESSAGES: Final = 1_024
MAX_CONTENT_PARTS: Final = 64

_ONE_TAG: Final = "text"
_LIST_TAG: Final = "list"


def _encodable(text: str) -> str:
    try:
        text.encode()
    except UnicodeEncodeError as error:
        message = f"lone surrogate at character {error.start + 1}"
        raise ValueError(message) from error
    return text


def _at_most(limit: int) -> pydantic.BeforeValidator:
    """Return a validator of a list's length that runs before those of its items."""

    def check(items: object) -> object:
        if isinstance(items, list) and len(items) > limit:
            raise ValueError(f"expected at most {limit} items, found {len(items)}")
        return items

    return pydantic.BeforeValidator(check)


def _tag(value: object) -> str:
    return _LIST_TAG if isinstance(value, list) else _ONE_TAG


Text = Annotated[str, pydantic.Field(strict=True), pydantic.AfterValidator(_encodable)]
TokenLimit = Annotated[int, pydantic.Field(strict=True, ge=1)]
AnswerCount = Annotated[int, pydantic.Field(strict=True, ge=1, le=1)]
Seed = Annotated[int, pydantic.Field(strict=True, ge=0, le=token_sampling.MAX_SEED)]
TopP = Annotated[float, pydantic.Field(strict=True, gt=0, le=1)]
Temperature = Annotated[
    float,
    pydantic.Field(
        strict=True, ge=0, le=token_sampling.MAX_TEMPERATURE, allow_inf_nan=False
    ),
]

_StopText = Annotated[
    Text, pydantic.Field(min_length=1, max_length=token_sampling.MAX_STOP_CHARACTERS)
]
_StopTexts = Annotated[tuple[_StopText, ...], _at_most(token_sampling.MAX_STOP_TEXTS)]
Stop = Annotated[
    Annotated[_StopText, pydantic.Tag(_ONE_TAG)]
    | Annotated[_StopTexts, pydantic.Tag(_LIST_TAG)],
    pydantic.Discriminator(_tag),
]


class StreamOptions(configuration.FrozenModel):
    """Options of a streamed answer."""

    include_usage: pydantic.StrictBool = False


class ContentPart(configuration.FrozenModel):
    """One part of a message's content; only text is accepted."""

    type: Literal["text"]
    text: Text


_ContentParts = Annotated[tuple[ContentPart, ...], _at_most(MAX_CONTENT_PARTS)]
Content = Annotated[
    Annotated[Text, pydantic.Tag(_ONE_TAG)]
    | Annotated[_ContentParts, pydantic.Tag(_LIST_TAG)],
    pydantic.Discriminator(_tag),
]


class Message(configuration.FrozenModel):
    """One message of a conversation."""

    role: Literal["system", "developer", "user", "assistant"]
    content: Content
    name: Text | None = None

    def speaker_label(self) -> str:
        """Return the role, or ``role:name`` if the message has a name."""
        return self.role if self.name is None else f"{self.role}:{self.name}"

    def text(self) -> str:
        """Return the content, its parts joined."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


Messages = Annotated[
    tuple[Message, ...], pydantic.Field(min_length=1), _at_most(MAX_MESSAGES)
]
