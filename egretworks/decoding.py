"""Decode what other programs have written, however it is nested."""

from __future__ import annotations

import re

import msgspec

# What msgspec raises for input that it can't decode; the latter for values nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)
# No document of this system or of the platform is nested as deeply.
MAX_JSON_DEPTH = 64

_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{}]', re.DOTALL)


def without_deep_values(data: bytes) -> bytes:
    """Return the JSON document `data` with null for each value nested beyond `MAX_JSON_DEPTH`."""
    parts = []
    depth = copied_until = 0
    for match in _STRING_OR_BRACKET.finditer(data):
        token = data[match.start()]
        if token in b"[{":
            depth += 1
            if depth == MAX_JSON_DEPTH + 1:
                parts += data[copied_until : match.start()], b"null"
        elif token in b"]}":
            if depth == MAX_JSON_DEPTH + 1:
                copied_until = match.end()
            depth -= 1
    if depth <= MAX_JSON_DEPTH:
        parts.append(data[copied_until:])
    return b"".join(parts)
