"""The HTTP interface for callers: addresses, queries, runs."""

import json
import urllib.parse
import uuid
from typing import Final

from expression import Error, Ok, Result

from mulberrybay_callers.answers import (
    encode_addresses,
    encode_failure,
    encode_query_answer,
    encode_run_answer,
)
from mulberrybay_core.errors import Failure, FailureKind, Step
from mulberrybay_core.queries import (
    QueryAnswer,
    QueryRequest,
    QueryService,
    RunAnswer,
    RunRequest,
)
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_server import HttpRequest, Respond

DEFAULT_DEADLINE_S: Final = 2.0
MAX_DEADLINE_S: Final = 30.0
MAX_REQUEST_ID_LENGTH: Final = 64


class CallerApplication:
    """Parses callers' requests and hands them to the node."""

    def __init__(self, service: QueryService) -> None:
        self._service = service
        self._is_leaving = False

    def leave(self) -> None:
        """Asks callers, with every answer from now on, to go elsewhere."""
        self._is_leaving = True

    def should_close(self) -> bool:
        """Returns whether callers should connect elsewhere from now on."""
        return self._is_leaving

    def on_request(self, request: HttpRequest, respond: Respond) -> None:
        """Answers a caller's request."""
        request_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        if len(request_id) > MAX_REQUEST_ID_LENGTH:
            failure = _invalid("X-Request-Id is longer than 64 characters")
            respond(encode_failure(failure, request_id[:64]))
            return
        parts = request.path.strip("/").split("/")
        match (request.method, parts):
            case ("GET", ["v1", "addresses"]):
                self._answer_addresses(request, request_id, respond)
            case ("POST", ["v1", "query", class_name]):
                self._answer_query(request, request_id, class_name, respond)
            case ("POST", ["v1", "run", class_name]):
                self._answer_run(request, request_id, class_name, respond)
            case _:
                failure = _invalid(f"no {request.method} {request.path}")
                failure = failure._replace(kind=FailureKind.NOT_FOUND)
                respond(encode_failure(failure, request_id))

    def _answer_addresses(
        self, request: HttpRequest, request_id: str, respond: Respond
    ) -> None:
        query = urllib.parse.parse_qs(request.query)
        failure_domain = query.get("failure_domain", [""])[0]
        match self._service.list_addresses(failure_domain):
            case Result(tag="ok", ok=answer):
                respond(encode_addresses(answer, request_id))
            case Result(error=failure):
                respond(encode_failure(failure, request_id))

    def _answer_query(
        self,
        request: HttpRequest,
        request_id: str,
        class_name: str,
        respond: Respond,
    ) -> None:
        now_s = read_clock_s()
        match self._check(request, class_name):
            case Result(tag="error", error=failure):
                respond(encode_failure(failure, request_id))
                return
            case Result(ok=deadline_s):
                pass

        def reply(result: Result[QueryAnswer, Failure]) -> None:
            match result:
                case Result(tag="ok", ok=answer):
                    respond(encode_query_answer(answer))
                case Result(error=failure):
                    respond(encode_failure(failure, request_id))

        self._service.submit_query(
            QueryRequest(
                request_id=request_id,
                class_name=class_name,
                failure_domain=request.headers.get("X-Failure-Domain", ""),
                deadline_at_s=now_s + deadline_s,
                received_at_s=now_s,
                body=request.body,
            ),
            reply,
        )

    def _answer_run(
        self,
        request: HttpRequest,
        request_id: str,
        class_name: str,
        respond: Respond,
    ) -> None:
        now_s = read_clock_s()
        match self._check(request, class_name):
            case Result(tag="error", error=failure):
                respond(encode_failure(failure, request_id))
                return
            case Result(ok=deadline_s):
                pass

        def reply(result: Result[RunAnswer, Failure]) -> None:
            match result:
                case Result(tag="ok", ok=answer):
                    respond(encode_run_answer(answer))
                case Result(error=failure):
                    respond(encode_failure(failure, request_id))

        self._service.submit_run(
            RunRequest(
                request_id=request_id,
                class_name=class_name,
                idempotency_key=request.headers.get("Idempotency-Key", ""),
                failure_domain=request.headers.get("X-Failure-Domain", ""),
                deadline_at_s=now_s + deadline_s,
                received_at_s=now_s,
                body=request.body,
            ),
            reply,
        )

    def _check(
        self, request: HttpRequest, class_name: str
    ) -> Result[float, Failure]:
        """Checks what queries and runs have in common.

        Returns:
            The time until the deadline in seconds.
        """
        if not self._service.has_class(class_name):
            failure = _invalid(f"no class of work {class_name!r}")
            return Error(failure._replace(kind=FailureKind.UNKNOWN_CLASS))
        try:
            json.loads(request.body)
        except (ValueError, RecursionError) as error:
            return Error(_invalid(f"the body is not JSON: {error}"))
        text = request.headers.get("X-Deadline-Ms")
        if text is None:
            return Ok(DEFAULT_DEADLINE_S)
        is_number = text.isascii() and text.isdigit() and len(text) < 8
        if not is_number or not 1 <= int(text) <= MAX_DEADLINE_S * 1000:
            limit_ms = int(MAX_DEADLINE_S * 1000)
            return Error(_invalid(f"X-Deadline-Ms is not 1 to {limit_ms}"))
        return Ok(int(text) / 1000)


def _invalid(detail: str) -> Failure:
    return Failure(FailureKind.INVALID, Step.PARSE, "caller", detail)
