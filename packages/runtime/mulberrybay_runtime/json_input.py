"""Decodes JSON from outside, of which a part may be more than a decoder takes.

A value that is nested too deeply, an integer with too many digits, or a byte that
isn't UTF-8 makes Python's decoder reject the whole text. Here such a value is
replaced, so that the values around it can be used.
"""

import json
import re
from typing import Any, Final

# Far more than any message of a peer has.
MAX_DEPTH: Final = 32
MAX_INTEGER_DIGITS: Final = 32
_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def _replace_deep_values(text: str) -> str:
    """Replaces each value that is nested too deeply by null."""
    kept = []
    depth = kept_from = 0
    for match in _TOKEN.finditer(text):
        token = match[0]
        if token in "[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept += [text[kept_from : match.start()], "null"]
        elif token in "]}":
            depth -= 1
            if depth == MAX_DEPTH:
                kept_from = match.end()
    if depth <= MAX_DEPTH:
        kept.append(text[kept_from:])
    return "".join(kept)


def _parse_integer(digits: str) -> int | float:
    if len(digits) > MAX_INTEGER_DIGITS:
        return float(digits)
    return int(digits)


def decode_json(data: bytes) -> Any:  # noqa: ANN401
    """Returns the value of a JSON text.

    A value at a depth of more than MAX_DEPTH becomes None, and an integer of more
    than MAX_INTEGER_DIGITS digits a float, which may be infinite. Bytes that
    aren't UTF-8 become lone surrogates.

    Raises:
        ValueError: The text is not JSON.
    """
    try:
        return json.loads(data)
    except (RecursionError, ValueError):
        # What isn't UTF-8 becomes lone surrogates, as an escape may name them.
        text = data.decode("utf-8", errors="surrogateescape")
        return json.loads(_replace_deep_values(text), parse_int=_parse_integer)
