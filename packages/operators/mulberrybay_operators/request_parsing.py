"""Parses operators' requests into typed changes."""

import json
import re
from typing import Final

from expression import Error, Ok, Result

from mulberrybay_core.configuration_change import (
    MAX_CHANGE_TIMEOUT_S,
    ChangeRequest,
    Edit,
)
from mulberrybay_core.configuration_file import (
    ClassesResult,
    ConfigurationProblem,
    parse_class_tables,
)
from mulberrybay_core.errors import Failure, FailureKind, Step
from mulberrybay_runtime.http_server import HttpRequest

CHANGE_ID_PATTERN: Final = re.compile(r"[!-~]{1,128}")
MAX_AUTHOR_LENGTH: Final = 128
UNNAMED_AUTHOR: Final = "unnamed"


def invalid(detail: str) -> Failure:
    """Returns the failure for an operator's invalid request."""
    return Failure(FailureKind.INVALID, Step.PARSE, "operator", detail)


def parse_change_headers(
    request: HttpRequest, edit: Edit
) -> Result[ChangeRequest, Failure]:
    """Parses the headers of a change and combines them with its edit.

    They give its identity, author, expected revision and deadline.
    """
    change_id = request.headers.get("Change-Id", "")
    if not CHANGE_ID_PATTERN.fullmatch(change_id):
        detail = "Change-Id must have 1 to 128 visible ASCII characters"
        return Error(invalid(detail))
    printable = filter(str.isprintable, request.headers.get("Operator", ""))
    author = "".join(printable).strip() or UNNAMED_AUTHOR
    expected_revision = None
    tag = request.headers.get("If-Match", "").strip()
    if tag:
        revision = tag.strip('"')
        if not revision.isdecimal():
            return Error(invalid(f"If-Match {tag!r} is not a revision"))
        expected_revision = int(revision)
    timeout_s = MAX_CHANGE_TIMEOUT_S
    limit_text = request.headers.get("X-Deadline-Ms")
    if limit_text is not None:
        if not limit_text.isdecimal() or int(limit_text) < 1:
            detail = "X-Deadline-Ms is not a whole number above 0"
            return Error(invalid(detail))
        timeout_s = min(timeout_s, int(limit_text) / 1000)
    return Ok(
        ChangeRequest(
            change_id=change_id,
            author=author[:MAX_AUTHOR_LENGTH],
            expected_revision=expected_revision,
            edit=edit,
            timeout_s=timeout_s,
        )
    )


def parse_state(body: bytes) -> Result[bool, Failure]:
    """Parses the state of a failure domain or backend server.

    Returns Ok(True) for out of service.
    """
    try:
        document = json.loads(body)
    except ValueError as error:
        return Error(invalid(f"the body is not JSON: {error}"))
    match document:
        case {"state": "out" | "in" as state} if len(document) == 1:
            return Ok(state == "out")
        case _:
            return Error(invalid('write {"state": "out"} or {"state": "in"}'))


def parse_classes(body: bytes) -> ClassesResult:
    """Parses classes of work in JSON, with the configuration file's schema."""
    try:
        document = json.loads(body)
    except ValueError as error:
        detail = f"the body is not JSON: {error}"
        return Error([ConfigurationProblem("", detail)])
    if not isinstance(document, dict):
        detail = "the body must be a JSON object"
        return Error([ConfigurationProblem("", detail)])
    return parse_class_tables(document)
