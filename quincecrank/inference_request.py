"""Checks the bodies of completion and chat-completion requests.

Every mistake in a body is found and reported with its field; unknown fields are
refused, so that nothing that a caller asks for is ignored in silence.
"""

import dataclasses
import json
from typing import Annotated, Final, Literal, TypeVar

import expression
import pydantic

from quincecrank import configuration, findings, ids

_SOURCE: Final = "body"
_ADAPTER_SEPARATOR: Final = ":"

Text = Annotated[str, pydantic.Field(strict=True)]


class _StreamOptions(configuration.FrozenModel):
    include_usage: bool = False


class _CommonBody(configuration.FrozenModel):
    """Fields that both requests have.

    ``temperature`` and ``top_p`` may only have values under which the most likely
    token is taken, since the answers of this version are deterministic.
    """

    model: Text
    stream: bool = False
    stream_options: _StreamOptions | None = None
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    temperature: Literal[0] | None = None
    n: Literal[1] | None = None
    user: Text | None = None


Body = TypeVar("Body", bound=_CommonBody)


class _CompletionBody(_CommonBody):
    prompt: Text


class _ContentPart(configuration.FrozenModel):
    type: Literal["text"]
    text: Text


class _Message(configuration.FrozenModel):
    role: Literal["system", "developer", "user", "assistant"]
    content: Text | tuple[_ContentPart, ...]
    name: Text | None = None

    def text(self) -> str:
        """Return the content as one text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class _ChatBody(_CommonBody):
    messages: tuple[_Message, ...] = pydantic.Field(min_length=1)
    max_completion_tokens: int | None = pydantic.Field(default=None, ge=1)


@dataclasses.dataclass(frozen=True)
class InferenceRequest:
    """A prompt as a caller asked for it.

    Attributes
    ----------
    model : str
        As the caller named it: a deployment, or ``deployment:adapter``.
    max_tokens : int or None
        None when the caller named no limit.
    """

    model: str
    prompt: bytes
    max_tokens: int | None
    chat: bool
    streamed: bool
    include_usage: bool

    @property
    def deployment(self) -> ids.DeploymentName:
        """Return the deployment that the model's name stands for."""
        return ids.DeploymentName(self.model.partition(_ADAPTER_SEPARATOR)[0])

    @property
    def adapter(self) -> ids.AdapterName:
        """Return the adapter that the model's name asks for, empty for none."""
        return ids.AdapterName(self.model.partition(_ADAPTER_SEPARATOR)[2])


Parsed = expression.Result[InferenceRequest, findings.Findings]


def parse_completion(body: bytes) -> Parsed:
    """Check the body of ``POST /v1/completions``."""
    checked = _validate(_CompletionBody, body)
    if isinstance(checked, findings.Findings):
        return expression.Error(checked)
    return expression.Ok(
        _request(checked, checked.prompt.encode(), checked.max_tokens, chat=False)
    )


def parse_chat(body: bytes) -> Parsed:
    """Check the body of ``POST /v1/chat/completions``."""
    checked = _validate(_ChatBody, body)
    if isinstance(checked, findings.Findings):
        return expression.Error(checked)
    limit = checked.max_completion_tokens or checked.max_tokens
    prompt = render_chat(checked.messages).encode()
    return expression.Ok(_request(checked, prompt, limit, chat=True))


def render_chat(messages: tuple[_Message, ...]) -> str:
    """Return the prompt of a conversation.

    A conversation that grows keeps its earlier text as a prefix, so that its blocks
    are reused.
    """
    turns = [f"<|{message.role}|>\n{message.text()}\n" for message in messages]
    return "".join(turns) + "<|assistant|>\n"


def _request(
    body: _CommonBody, prompt: bytes, max_tokens: int | None, *, chat: bool
) -> InferenceRequest:
    options = body.stream_options
    return InferenceRequest(
        model=body.model,
        prompt=prompt,
        max_tokens=max_tokens,
        chat=chat,
        streamed=body.stream,
        include_usage=options is not None and options.include_usage,
    )


def _validate(model: type[Body], body: bytes) -> Body | findings.Findings:
    found = findings.Findings()
    try:
        return model.model_validate(json.loads(body.decode()))
    except UnicodeDecodeError as error:
        place = findings.Place(_SOURCE, column=error.start + 1)
        found.add(place, "the body is not UTF-8 at this byte")
    except json.JSONDecodeError as error:
        place = findings.Place(_SOURCE, error.lineno, error.colno)
        found.add(place, f"the body is not JSON: {error.msg}")
    except pydantic.ValidationError as error:
        for mistake in error.errors():
            field = ".".join(str(part) for part in mistake["loc"])
            found.add(findings.Place(_SOURCE, field=field), mistake["msg"])
    except (RecursionError, UnicodeEncodeError, ValueError) as error:
        found.add(findings.Place(_SOURCE), f"the body cannot be read: {error}")
    return found
