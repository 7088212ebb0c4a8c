"""Encodes requests to backend servers and interprets their replies."""

import json
import re
from typing import Any, Final

from mulberrybay_core.attempts import AttemptKind
from mulberrybay_core.backend_messages import (
    BackendOutcome,
    BackendRequest,
    BackendResult,
)
from mulberrybay_core.errors import RunState
from mulberrybay_core.fleet import BackendServer
from mulberrybay_runtime.http_exchange import HttpReply, encode_request

MAX_RETRY_AFTER_S: Final = 60.0


def encode_backend_request(
    server: BackendServer, request: BackendRequest, time_left_s: float
) -> bytes:
    """Returns a search or a run as the bytes of an HTTP request."""
    if request.kind is AttemptKind.RUN:
        path = "/v1/run"
        headers = f"Idempotency-Key: {request.idempotency_key}\r\n"
    else:
        path = "/v1/search"
        headers = (
            f"X-Index-Version: {request.index_version}\r\n"
            f"X-Shard: {request.shard}\r\n"
        )
    deadline_ms = max(0, int(time_left_s * 1000))
    # One f-string, for speed: this runs for every sub-request.
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {server.address}\r\n"
        "Content-Type: application/json\r\n"
        f"X-Request-Id: {request.request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n{headers}"
        f"Content-Length: {len(request.body)}\r\n\r\n"
    )
    return head.encode("latin-1") + request.body


def encode_cancel(server: BackendServer, request_id: str) -> bytes:
    """Returns a cancellation as the bytes of an HTTP request."""
    return encode_request(
        "DELETE", f"/v1/requests/{request_id}", server.address
    )


def read_backend_reply(
    request: BackendRequest, reply: HttpReply
) -> BackendResult:
    """Returns the result of a request from its complete reply."""
    is_leaving = reply.headers.get("x-leaving") == "1"
    if reply.headers.get("x-request-id") != request.request_id:
        return _bad_reply("the reply is to another request")
    if reply.status == 200:
        result = _read_success(request, reply)
        return result._replace(is_leaving=True) if is_leaving else result
    reports_not_run = reply.headers.get("x-not-run") == "1"
    result = BackendResult(
        outcome=_OUTCOMES.get(reply.status, BackendOutcome.BAD_REPLY),
        run_state=RunState.NOT_RUN if reports_not_run else RunState.UNKNOWN,
        is_leaving=is_leaving,
        detail=f"status {reply.status}",
    )
    if result.outcome is BackendOutcome.SHED:
        return result._replace(retry_after_s=_read_retry_after_s(reply))
    if result.outcome is BackendOutcome.WRONG_SNAPSHOT:
        return result._replace(
            run_state=RunState.NOT_RUN, index_versions=_read_versions(reply)
        )
    return result


_DECODER: Final = json.JSONDecoder()
_SCALAR_KEYS: Final = frozenset({"index_version", "shard"})
_BRACKETS: Final = frozenset("[]")
_OUTCOMES: Final = {
    408: BackendOutcome.DEADLINE,
    409: BackendOutcome.WRONG_SNAPSHOT,
    499: BackendOutcome.CANCELLED,
    503: BackendOutcome.SHED,
}


def _read_success(request: BackendRequest, reply: HttpReply) -> BackendResult:
    if request.kind is AttemptKind.SEARCH:
        version = reply.headers.get("x-index-version")
        shard = reply.headers.get("x-shard")
        if version != str(request.index_version):
            return _bad_reply(f"the reply is from snapshot {version}")
        if shard != str(request.shard):
            return _bad_reply(f"the reply is from shard {shard}")
        return _read_hits(reply.body)
    return _read_run_result(reply.body)


def _read_hits(body: bytes) -> BackendResult:
    """Extracts the hits, a JSON array, from the reply to a search.

    The array's bytes are copied from the body where brackets delimit it
    without ambiguity, and are encoded again otherwise.
    """
    try:
        document = _DECODER.decode(body.decode())
        hits = document["hits"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return _bad_reply("the reply is not an object with hits")
    if not isinstance(hits, list):
        return _bad_reply("the hits are not a list")
    if not hits:
        hits_json = b"[]"
    elif _has_one_bracket_pair(body) or (
        body.count(b'"hits"') == 1 and _only_hits_have_brackets(document)
    ):
        hits_json = body[body.index(b"[") : body.rindex(b"]") + 1]
    else:
        hits_json = json.dumps(hits).encode()
    return BackendResult(BackendOutcome.OK, RunState.RAN, body=hits_json)


def _has_one_bracket_pair(body: bytes) -> bool:
    """Returns whether the only brackets are those around the hits."""
    return body.count(b"[") == 1 == body.count(b"]")


def _only_hits_have_brackets(document: dict[str, Any]) -> bool:
    """Returns whether all brackets of the document belong to the hits."""
    return all(
        key == "hits"
        or (
            key in _SCALAR_KEYS
            and type(value) in {int, str}
            and _BRACKETS.isdisjoint(str(value))
        )
        for key, value in document.items()
    )


def _read_run_result(body: bytes) -> BackendResult:
    """Parses a run's result and encodes it again as JSON in ASCII."""
    try:
        result_json = json.dumps(json.loads(body)).encode()
    except (ValueError, RecursionError):
        return _bad_reply("the result is not JSON")
    return BackendResult(BackendOutcome.OK, RunState.RAN, body=result_json)


def _bad_reply(detail: str) -> BackendResult:
    return BackendResult(
        BackendOutcome.BAD_REPLY, RunState.UNKNOWN, detail=detail
    )


def _read_retry_after_s(reply: HttpReply) -> float:
    try:
        retry_after_s = float(reply.headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
    # The comparison is false for NaN as well.
    return min(retry_after_s, MAX_RETRY_AFTER_S) if retry_after_s > 0 else 0.0


def _read_versions(reply: HttpReply) -> tuple[int, ...]:
    text = reply.headers.get("x-index-versions", "")
    return tuple(
        int(version_text)
        for version_text in text.split(",")
        if re.fullmatch(r"\s*[0-9]{1,9}\s*", version_text)
    )
