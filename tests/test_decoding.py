"""Test that values nested however deeply are read like other malformed ones."""

import json

import pytest

from egretworks.decoding import MAX_JSON_DEPTH, without_deep_values


def nested(depth):
    """Return arrays and objects nested `depth` deep, with brackets in strings between them."""
    value = 1
    for level in range(depth):
        value = {'a"]': ["}\\", value]} if level % 2 else [value]
    return value


@pytest.mark.parametrize("depth", (0, 1, 20))
def test_documents_that_are_nested_less_stay_as_they_are(depth):
    data = json.dumps({"before": nested(depth), "text": '[{"\\'}).encode()
    assert without_deep_values(data) == data


def test_a_value_that_is_nested_too_deeply_becomes_null():
    deep = b"[" * 100_000 + b"]" * 100_000
    data = b'{"x": [' + deep + b', "]"], "y": {"z": ' + deep + b'}, "w": 1}'
    read = json.loads(without_deep_values(data))
    assert read["w"] == 1
    assert read["x"][1] == "]"
    innermost = read["y"]["z"]
    depth = 2
    while innermost is not None:
        (innermost,) = innermost
        depth += 1
    assert depth == MAX_JSON_DEPTH


@pytest.mark.parametrize("data", (b"[" * 200, b"]" * 200, b'{"a', b"", b"[" * 70 + b"]" * 90))
def test_what_is_no_document_raises_nothing(data):
    without_deep_values(data)
