"""Formats answers as the OpenAI API defines them.

Answers are formatted by the agent, so that the entry only copies bytes.  Every token
is one server-sent event; the constant parts of the event are formatted once per
request.
"""

import dataclasses
import json
from typing import Final

from quincecrank import ids, stream_messages

DONE_EVENT: Final = b"data: [DONE]\n\n"


class EventFormat:
    """Formats the events of one streamed answer.

    Parameters
    ----------
    created_s : int
        Seconds since the epoch; the field ``created`` of every event.
    """

    def __init__(
        self,
        request_id: ids.RequestId,
        work: stream_messages.Completion,
        created_s: int,
    ) -> None:
        self._chat = work.chat
        kind = "chat.completion.chunk" if work.chat else "text_completion"
        common = {
            "id": request_id,
            "object": kind,
            "created": created_s,
            "model": work.model,
            "system_fingerprint": work.weight_version,
        }
        self._common: dict[str, object] = dict(common)
        opening = json.dumps(common, ensure_ascii=False)[:-1]
        field = '"delta":{"content":' if work.chat else '"text":'
        self._prefix = f'data: {opening}, "choices":[{{"index":0,{field}'
        self._next_prefix = self._prefix
        if work.chat and not work.resume_after:
            first = field.replace("{", '{"role":"assistant",')
            self._next_prefix = self._prefix.replace(field, first)
        closing = "}" if work.chat else ""
        self._suffix = f'{closing},"finish_reason":null,"logprobs":null}}]}}\n\n'

    def token_event(self, text: str) -> bytes:
        """Return the event of the next token; the first one of a chat has the role."""
        prefix, self._next_prefix = self._next_prefix, self._prefix
        return f"{prefix}{json.dumps(text)}{self._suffix}".encode()

    def closing_events(self, reason: str, usage: "Usage | None") -> bytes:
        """Return the closing events: finish reason, usage if given, and ``[DONE]``."""
        choice: dict[str, object] = {"index": 0, "finish_reason": reason}
        if self._chat:
            choice["delta"] = {}
        else:
            choice["text"] = ""
        parts = [_event({**self._common, "choices": [choice]})]
        if usage is not None:
            document = {**self._common, "choices": [], "usage": usage.to_document()}
            parts.append(_event(document))
        parts.append(DONE_EVENT)
        return b"".join(parts)


@dataclasses.dataclass(frozen=True)
class Usage:
    """Token counts of one answer, as the API reports them.

    Attributes
    ----------
    cached_tokens : int
        Prompt tokens that were not recomputed.
    restored_tokens : int
        Cached tokens that were restored from a store VM; an extension of the API.
    """

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    restored_tokens: int

    def to_document(self) -> dict[str, object]:
        """Return the ``usage`` member of the API."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": {
                "cached_tokens": self.cached_tokens,
                "restored_tokens": self.restored_tokens,
            },
        }


def complete_answer(
    request_id: ids.RequestId,
    work: stream_messages.Completion,
    created_s: int,
    text: str,
    finish_reason: str,
    usage: Usage,
) -> bytes:
    """Return the body of an answer that is not streamed."""
    choice: dict[str, object] = {"index": 0, "finish_reason": finish_reason}
    choice["logprobs"] = None
    if work.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    document = {
        "id": request_id,
        "object": "chat.completion" if work.chat else "text_completion",
        "created": created_s,
        "model": work.model,
        "system_fingerprint": work.weight_version,
        "choices": [choice],
        "usage": usage.to_document(),
    }
    return json.dumps(document, ensure_ascii=False).encode()


def _event(document: dict[str, object]) -> bytes:
    return f"data: {json.dumps(document, ensure_ascii=False)}\n\n".encode()
