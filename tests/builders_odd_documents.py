"""Builders of odd documents, as other writers or faulty peers may leave them."""

import json
from collections.abc import Mapping
from typing import Any, Final

import hypothesis
from hypothesis import strategies

# With `derandomize` the examples follow from a test's name and source.  Failing ones
# are not shrunk, as each example constructs gateways.
REPRODUCIBLE: Final = hypothesis.settings(
    max_examples=200,
    deadline=None,
    database=None,
    derandomize=True,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)

ODD_TEXTS: Final = strategies.one_of(
    strategies.sampled_from(
        (
            "", "\ud800", "i-\udfff", "a\0b", "a\r\nX-Odd: 1", "\x7f", "\u0085",
            "é" * 101, "x" * 201, "x" * 1_000_000, "host.invalid:80", "999.1.1.1:80",
            "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:٣", "127.1:80", "[::1]:80",
            "127.0.0.1:" + "9" * 5_000, "999.1.1.1", "host.invalid",
        )
    ),
    strategies.text(alphabet=strategies.characters(), max_size=20),
)  # fmt: skip

_ODD_NUMBERS: Final = strategies.sampled_from(
    (
        "-1", "0", "1.5", "1e308", "1e999", "NaN", "Infinity", "4294967296", "true",
        str(2**63 - 1), str(2**63), "9" * 5_000, '"7"', '"' + "9" * 4_000 + '"',
    )
)  # fmt: skip

ODD_JSON: Final = strategies.one_of(
    ODD_TEXTS.map(json.dumps),
    _ODD_NUMBERS,
    strategies.sampled_from((1, 30, 900, 3_000, 100_000)).map(
        lambda depth: "[" * depth + "]" * depth
    ),
    strategies.sampled_from(('{"a": 1}', "[null]", "null", '[{"name": [[]]}]')),
)
"""JSON texts of values that a field should not have."""


@strategies.composite
def odd_document(draw: Any, sound: Mapping[str, Any]) -> str:
    """Draw the text of a sound document with one to three odd fields."""
    texts = {name: json.dumps(value) for name, value in sound.items()}
    names = strategies.sampled_from(sorted(texts))
    for name in draw(strategies.lists(names, min_size=1, max_size=3)):
        texts[name] = draw(ODD_JSON)
    inner = ", ".join(f"{json.dumps(name)}: {text}" for name, text in texts.items())
    return "{" + inner + "}"
