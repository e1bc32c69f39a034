"""Parses and validates the bodies of completion and chat-completion requests.

All mistakes in a body are reported together, each with its field.  Unknown fields are
rejected, so that no option of a caller is silently ignored.
"""

import dataclasses
import json
from typing import Final, Self, TypeVar

import expression
import pydantic

from quincecrank import (
    configuration,
    findings,
    ids,
    request_fields,
    token_sampling,
)

MAX_FINDINGS: Final = 20
"""Mistakes listed for one body; further ones are only counted."""

MAX_FIELDS: Final = 64
"""Maximum number of fields of one JSON object."""

MAX_FIELD_CHARACTERS: Final = 100
"""Length to which a field name in a finding is cut."""

_SOURCE: Final = "body"
_ADAPTER_SEPARATOR: Final = ":"


class _CommonBody(configuration.FrozenModel):
    """Fields that both request types have.

    Tokens are sampled only when ``temperature`` is above 0; see ``token_sampling``.
    """

    model: request_fields.Text
    stream: pydantic.StrictBool = False
    stream_options: request_fields.StreamOptions | None = None
    max_tokens: request_fields.TokenLimit | None = None
    temperature: request_fields.Temperature | None = None
    top_p: request_fields.TopP | None = None
    seed: request_fields.Seed | None = None
    stop: request_fields.Stop | None = None
    n: request_fields.AnswerCount | None = None
    user: request_fields.Text | None = None

    @pydantic.model_validator(mode="after")
    def _top_p_has_an_effect(self) -> Self:
        if self.top_p not in (None, 1) and not self.temperature:
            raise ValueError("top_p is only allowed with a temperature above 0")
        return self

    def sampling(self) -> token_sampling.Sampling:
        """Return the sampling parameters; greedy unless the temperature is above 0."""
        stop = (self.stop,) if isinstance(self.stop, str) else self.stop
        if not self.temperature:
            return token_sampling.Sampling(stop=stop or ())
        return token_sampling.Sampling(
            temperature=self.temperature,
            top_p=self.top_p or 1.0,
            seed=self.seed,
            stop=stop or (),
        )

    @pydantic.model_validator(mode="after")
    def _options_have_a_stream(self) -> Self:
        if self.stream_options is not None and not self.stream:
            raise ValueError("stream_options is only allowed when stream is true")
        return self


Body = TypeVar("Body", bound=_CommonBody)


class _CompletionBody(_CommonBody):
    prompt: request_fields.Text


class _ChatBody(_CommonBody):
    messages: request_fields.Messages
    max_completion_tokens: request_fields.TokenLimit | None = None

    @pydantic.model_validator(mode="after")
    def _one_limit(self) -> Self:
        if self.max_tokens is not None and self.max_completion_tokens is not None:
            raise ValueError("give max_tokens or max_completion_tokens, not both")
        return self


@dataclasses.dataclass(frozen=True)
class InferenceRequest:
    """A validated prompt request.

    Attributes
    ----------
    model : str
        As the caller gave it: a deployment, or ``deployment:adapter``.
    prompt : bytes
        UTF-8 text; that of a chat is rendered by `render_chat`.
    max_tokens : int or None
        None when the caller gave no limit.
    streamed : bool
        Whether the answer is sent as server-sent events.
    include_usage : bool
        Whether a streamed answer ends with its token counts.
    """

    model: str
    prompt: bytes
    max_tokens: int | None
    chat: bool
    streamed: bool
    include_usage: bool
    sampling: token_sampling.Sampling = token_sampling.DEFAULT

    def seeded(self) -> Self:
        """Return the request with a random seed if its sampling needs one."""
        return dataclasses.replace(self, sampling=self.sampling.seeded())

    @property
    def deployment(self) -> ids.DeploymentName:
        """Return the deployment that the model name refers to."""
        return ids.DeploymentName(self.model.partition(_ADAPTER_SEPARATOR)[0])

    @property
    def adapter(self) -> ids.AdapterName:
        """Return the adapter that the model name refers to, empty for none."""
        return ids.AdapterName(self.model.partition(_ADAPTER_SEPARATOR)[2])


Parsed = expression.Result[InferenceRequest, findings.Findings]


def parse_completion(body: bytes) -> Parsed:
    """Parse the body of ``POST /v1/completions``; an error has all findings."""
    checked = _validate(_CompletionBody, body)
    if isinstance(checked, findings.Findings):
        return expression.Error(checked)
    return expression.Ok(
        _request(checked, checked.prompt.encode(), checked.max_tokens, chat=False)
    )


def parse_chat(body: bytes) -> Parsed:
    """Parse the body of ``POST /v1/chat/completions``; an error has all findings."""
    checked = _validate(_ChatBody, body)
    if isinstance(checked, findings.Findings):
        return expression.Error(checked)
    limit = checked.max_completion_tokens or checked.max_tokens
    prompt = render_chat(checked.messages).encode()
    return expression.Ok(_request(checked, prompt, limit, chat=True))


def render_chat(messages: tuple[request_fields.Message, ...]) -> str:
    """Return the prompt of a conversation.

    The prompt of an extended conversation starts with the earlier messages' text, so
    that the cached blocks of that prefix are reused.
    """
    turns = [
        f"<|{message.speaker_label()}|>\n{message.text()}\n" for message in messages
    ]
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
        sampling=body.sampling(),
    )


def _validate(model: type[Body], body: bytes) -> Body | findings.Findings:
    found = findings.Findings()
    try:
        return model.model_validate(_load(body))
    except UnicodeDecodeError as error:
        place = findings.Place(_SOURCE, column=error.start + 1)
        found.add(place, "the body is not UTF-8 at this byte")
    except json.JSONDecodeError as error:
        place = findings.Place(_SOURCE, error.lineno, error.colno)
        found.add(place, f"the body is not JSON: {error.msg}")
    except pydantic.ValidationError as error:
        _add_mistakes(found, error)
    except (RecursionError, ValueError) as error:
        found.add(findings.Place(_SOURCE), f"the body cannot be read: {error}")
    return found


def _load(body: bytes) -> object:
    return json.loads(body.decode(), object_pairs_hook=_unique_fields)


def _unique_fields(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Reject large objects, and repeated fields, of which only one would count."""
    if len(pairs) > MAX_FIELDS:
        raise ValueError(f"an object has {len(pairs)} fields, more than {MAX_FIELDS}")
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = sorted({_printable(n) for n in names if names.count(n) > 1})
        raise ValueError(f"fields given twice: {', '.join(repeated)}")
    return fields


def _add_mistakes(found: findings.Findings, error: pydantic.ValidationError) -> None:
    count = error.error_count()
    mistakes = error.errors(include_url=False, include_context=False)
    for mistake in mistakes[:MAX_FINDINGS]:
        field = ".".join(_printable(part) for part in mistake["loc"])
        message = mistake["msg"].removeprefix("Value error, ")
        if mistake["type"] in ("model_type", "model_attributes_type"):
            message = "expected a JSON object"
        found.add(findings.Place(_SOURCE, field=field), message)
    if count > MAX_FINDINGS:
        more = count - MAX_FINDINGS
        found.add(findings.Place(_SOURCE), f"there are {more} more mistakes")


def _printable(part: int | str) -> str:
    """Return one part of a field's path, cut and without control characters."""
    text = str(part)[:MAX_FIELD_CHARACTERS]
    return text if text.isprintable() else ascii(text)
