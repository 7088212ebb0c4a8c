"""The HTTP interface for callers: node addresses, queries and runs."""

import json
import urllib.parse
import uuid
from collections.abc import Callable
from typing import Final, NamedTuple, TypeVar

from expression import Error, Ok, Result

from mulberrybay_callers.answers import (
    encode_addresses,
    encode_failure,
    encode_query_answer,
    encode_run_answer,
)
from mulberrybay_core.errors import Failure, FailureKind, Step
from mulberrybay_core.queries import (
    AddressAnswer,
    QueryRequest,
    QueryService,
    RunRequest,
)
from mulberrybay_runtime.clock import read_clock_s
from mulberrybay_runtime.http_server import (
    CancelRequest,
    HttpRequest,
    HttpResponse,
    Respond,
)

DEFAULT_DEADLINE_S: Final = 2.0
MAX_DEADLINE_S: Final = 30.0
MAX_REQUEST_ID_LENGTH: Final = 64

AnswerT = TypeVar("AnswerT")


class _Route(NamedTuple):
    """The request id and the parsed path of a query or a run."""

    request_id: str
    class_name: str
    is_run: bool


class CallerApplication:
    """Parses callers' requests and submits them to the query service."""

    def __init__(self, service: QueryService) -> None:
        self._service = service
        self._is_draining = False

    def start_draining(self) -> None:
        """Closes callers' connections from now on, each after an answer.

        Callers then connect to other nodes.
        """
        self._is_draining = True

    def should_close(self) -> bool:
        """Returns whether connections should be closed after an answer."""
        return self._is_draining

    def on_request(
        self, request: HttpRequest, respond: Respond
    ) -> CancelRequest | None:
        """Answers a caller's request.

        Returns:
            A function that cancels the query if its caller disconnects; None
            for requests that can't be cancelled.
        """
        request_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        if len(request_id) > MAX_REQUEST_ID_LENGTH:
            failure = _invalid_request(
                "X-Request-Id is longer than 64 characters"
            )
            respond(encode_failure(failure, request_id[:64]))
            return None
        segments = request.path.strip("/").split("/")
        match (request.method, segments):
            case ("GET", ["v1", "addresses"]):
                self._answer_addresses(request, request_id, respond)
            case ("POST", ["v1", "query" | "run" as verb, class_name]):
                route = _Route(request_id, class_name, verb == "run")
                return self._answer_query_or_run(request, route, respond)
            case _:
                failure = _invalid_request(
                    f"no {request.method} {request.path}"
                )
                failure = failure._replace(kind=FailureKind.NOT_FOUND)
                respond(encode_failure(failure, request_id))
        return None

    def _answer_addresses(
        self, request: HttpRequest, request_id: str, respond: Respond
    ) -> None:
        query = urllib.parse.parse_qs(request.query)
        failure_domain = query.get("failure_domain", [""])[0]

        def encode(answer: AddressAnswer) -> HttpResponse:
            return encode_addresses(answer, request_id)

        reply = _make_reply_handler(encode, request_id, respond)
        reply(self._service.list_addresses(failure_domain))

    def _answer_query_or_run(
        self, request: HttpRequest, route: "_Route", respond: Respond
    ) -> CancelRequest | None:
        """Answers a query or a run; only a run has an idempotency key."""
        now_s = read_clock_s()
        match self._parse_time_left_s(request, route.class_name):
            case Result(tag="ok", ok=time_left_s):
                deadline_at_s = now_s + time_left_s
            case Result(error=failure):
                respond(encode_failure(failure, route.request_id))
                return None
        query = QueryRequest(
            request_id=route.request_id,
            class_name=route.class_name,
            failure_domain=request.headers.get("X-Failure-Domain", ""),
            deadline_at_s=deadline_at_s,
            received_at_s=now_s,
            body=request.body,
        )
        if route.is_run:
            # A run continues if its caller disconnects: the caller may retry
            # with the same key.
            key = request.headers.get("Idempotency-Key", "")
            self._service.submit_run(
                RunRequest(**query._asdict(), idempotency_key=key),
                _make_reply_handler(
                    encode_run_answer, route.request_id, respond
                ),
            )
            return None
        return self._service.submit_query(
            query,
            _make_reply_handler(encode_query_answer, route.request_id, respond),
        )

    def _parse_time_left_s(
        self, request: HttpRequest, class_name: str
    ) -> Result[float, Failure]:
        """Checks the class of work, the body and the deadline of a request.

        Returns:
            The time until the deadline in seconds, or why the request is
            invalid.
        """
        if not self._service.has_class(class_name):
            failure = _invalid_request(f"no class of work {class_name!r}")
            return Error(failure._replace(kind=FailureKind.UNKNOWN_CLASS))
        try:
            json.loads(request.body)
        except (ValueError, RecursionError) as error:
            return Error(_invalid_request(f"the body is not JSON: {error}"))
        text = request.headers.get("X-Deadline-Ms")
        if text is None:
            return Ok(DEFAULT_DEADLINE_S)
        is_number = text.isascii() and text.isdigit() and len(text) < 8
        if not is_number or not 1 <= int(text) <= MAX_DEADLINE_S * 1000:
            limit_ms = int(MAX_DEADLINE_S * 1000)
            return Error(
                _invalid_request(f"X-Deadline-Ms is not 1 to {limit_ms}")
            )
        return Ok(int(text) / 1000)


def _make_reply_handler(
    encode: Callable[[AnswerT], HttpResponse],
    request_id: str,
    respond: Respond,
) -> Callable[[Result[AnswerT, Failure]], None]:
    """Returns a handler that sends a result as an HTTP response."""

    def reply(result: Result[AnswerT, Failure]) -> None:
        match result:
            case Result(tag="ok", ok=answer):
                respond(encode(answer))
            case Result(error=failure):
                respond(encode_failure(failure, request_id))

    return reply


def _invalid_request(detail: str) -> Failure:
    return Failure(FailureKind.INVALID, Step.PARSE, "caller", detail)
