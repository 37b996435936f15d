"""Generate malformed inputs from valid ones, for property-based tests."""

import json

from hypothesis import strategies as st

# Values that a writer with an error may put in the place of any other.
WRONG_VALUES = (None, True, -1, 0, 2**31, 2**63, 2**64, 10**30, -1.5, 1e300, "", "x" * 300, [], {})


@st.composite
def mutated_bytes(draw, valid):
    """Draw a variant of the bytes `valid` with parts cut, changed, repeated or swapped."""
    data = bytearray(draw(st.sampled_from(valid)) if isinstance(valid, list) else valid)
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(data)))
        end = min(len(data), start + draw(st.integers(0, 24)))
        kind = draw(st.sampled_from(("cut", "change", "repeat", "swap", "end")))
        if kind == "cut":
            del data[start:end]
        elif kind == "change":
            data[start:end] = draw(st.binary(max_size=8))
        elif kind == "repeat":
            data[end:end] = data[start:end]
        elif kind == "swap":
            part = bytes(data[start:end])
            del data[start:end]
            other = draw(st.integers(0, len(data)))
            data[other:other] = part
        else:
            del data[start:]
    return bytes(data)


@st.composite
def mutated_json(draw, valid):
    """Draw a variant of the JSON document `valid` with one or two values replaced or removed."""
    document = json.loads(valid)
    for _ in range(draw(st.integers(1, 2))):
        places = list(_places(document))
        if not places:
            break
        container, key = draw(st.sampled_from(places))
        wrong = draw(st.sampled_from((*WRONG_VALUES, "remove")))
        if wrong == "remove":
            del container[key]
        else:
            container[key] = wrong
    return json.dumps(document).encode()


def _places(value):
    """Yield the container and the key of each value within `value`."""
    if isinstance(value, dict):
        keys = list(value)
    elif isinstance(value, list):
        keys = range(len(value))
    else:
        return
    for key in keys:
        yield value, key
        yield from _places(value[key])
