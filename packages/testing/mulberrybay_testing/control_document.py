"""Parses the documents that are posted to control ports."""

from __future__ import annotations

import json
from collections.abc import Iterable


class ControlDocumentError(ValueError):
    """A control document has an unknown key."""

    def __init__(self, unknown_keys: Iterable[str]) -> None:
        super().__init__(f"unknown keys: {', '.join(sorted(unknown_keys))}")


def parse_control(
    body: bytes, keys: Iterable[str], set_keys: Iterable[str] = ()
) -> dict[str, object]:
    """Parses a control document and checks its keys.

    Args:
      body: the JSON text of an object.
      keys: the allowed keys of the document.
      set_keys: the allowed keys of the object under its key "set".

    Returns:
      The document.

    Raises:
      ControlDocumentError: a key is unknown.
      ValueError: the body is not a JSON object.
    """
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError("the control document is not a JSON object")
    unknown = set(document) - set(keys)
    unknown |= set(document.get("set", ())) - set(set_keys)
    if unknown:
        raise ControlDocumentError(unknown)
    return document
