"""Encodes answers and failures for callers as HTTP responses with JSON."""

import json
import math
from typing import Final

from mulberrybay_core.errors import Failure, FailureKind
from mulberrybay_core.queries import AddressAnswer, QueryAnswer, RunAnswer
from mulberrybay_runtime.http_server import HttpResponse

STATUS_BY_KIND: Final = {
    FailureKind.INVALID: 400,
    FailureKind.UNAUTHORIZED: 401,
    FailureKind.UNKNOWN_CLASS: 404,
    FailureKind.NOT_FOUND: 404,
    FailureKind.CONFLICT: 409,
    FailureKind.TOO_LARGE: 413,
    FailureKind.CALLER_GONE: 499,
    FailureKind.INTERNAL: 500,
    FailureKind.PROTOCOL: 502,
    FailureKind.CONNECTION: 502,
    FailureKind.OVERLOADED: 503,
    FailureKind.NO_LEASE: 503,
    FailureKind.LEAVING: 503,
    FailureKind.OUT_OF_SERVICE: 503,
    FailureKind.NO_REPLICA: 503,
    FailureKind.PLATFORM: 503,
    FailureKind.DEADLINE: 504,
    FailureKind.COVERAGE: 504,
}


def encode_failure(failure: Failure, request_id: str) -> HttpResponse:
    """Returns the answer for a request that failed."""
    document = {
        "request_id": request_id,
        "error": {
            "kind": failure.kind.value,
            "step": failure.step.value,
            "peer": failure.peer,
            "detail": failure.detail,
            "run_state": failure.run_state.value,
            "retry_after_s": failure.retry_after_s,
        },
    }
    headers = [("X-Request-Id", request_id)]
    if failure.retry_after_s is not None:
        # Retry-After is in whole seconds; the body has the exact value.
        headers.append(("Retry-After", str(math.ceil(failure.retry_after_s))))
    return HttpResponse(
        status=STATUS_BY_KIND[failure.kind],
        body=json.dumps(document).encode(),
        headers=tuple(headers),
    )


def encode_query_answer(answer: QueryAnswer) -> HttpResponse:
    """Returns the answer to a query: hits, snapshot and coverage."""
    covered_count = len(answer.shard_replies)
    head = {
        "request_id": answer.request_id,
        "index_version": answer.index_version,
        "coverage": {
            "shard_count": answer.shard_count,
            "covered_count": covered_count,
            "missing_shards": list(answer.missing_shards),
            "percent": 100 * covered_count / answer.shard_count,
        },
        "revision": answer.revision,
    }
    # The hits of each shard reply are already a JSON array, so the arrays are
    # joined as bytes, without parsing them.
    hits = b", ".join(
        shard_reply.hits_json[1:-1]
        for shard_reply in answer.shard_replies
        if shard_reply.hits_json != b"[]"
    )
    text = json.dumps(head).encode()
    body = text[:-1] + b', "hits": [' + hits + b"]}"
    headers = (("X-Request-Id", answer.request_id),)
    return HttpResponse(200, body, headers)


def encode_run_answer(answer: RunAnswer) -> HttpResponse:
    """Returns the answer to a non-idempotent request that ran."""
    head = {
        "request_id": answer.request_id,
        "run_state": "ran",
        "was_repeat": answer.was_repeat,
    }
    text = json.dumps(head).encode()
    body = text[:-1] + b', "result": ' + answer.result_json + b"}"
    headers = (("X-Request-Id", answer.request_id),)
    return HttpResponse(200, body, headers)


def encode_addresses(answer: AddressAnswer, request_id: str) -> HttpResponse:
    """Returns the answer with the node addresses that a caller should use."""
    document = {
        "request_id": request_id,
        "addresses": [
            {
                "node_id": item.node_id,
                "failure_domain": item.failure_domain,
                "address": str(item.address),
            }
            for item in answer.addresses
        ],
        "time_to_live_s": answer.time_to_live_s,
    }
    headers = (("X-Request-Id", request_id),)
    return HttpResponse(200, json.dumps(document).encode(), headers)
