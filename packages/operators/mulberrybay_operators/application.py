"""The HTTP API for operators, on a separate port from that for callers."""

import hmac
import urllib.parse
from typing import Final, TypeVar

from expression import Error, Ok, Result

from mulberrybay_core.configuration_change import (
    Edit,
    ReplaceClasses,
    SetDomainState,
    SetServerState,
)
from mulberrybay_core.errors import Failure, FailureKind
from mulberrybay_core.operator_messages import OperatorService
from mulberrybay_operators.request_parsing import (
    invalid,
    parse_change_headers,
    parse_classes,
    parse_state,
)
from mulberrybay_operators.responses import (
    encode_audit,
    encode_burn,
    encode_change,
    encode_cluster,
    encode_configuration_response,
    encode_failure,
    encode_missing_precondition,
    encode_problems,
    encode_status,
)
from mulberrybay_runtime.http_server import (
    HttpRequest,
    HttpResponse,
    Respond,
)
from mulberrybay_runtime.metrics import CONTENT_TYPE, MetricsPage

EditType = TypeVar("EditType", bound=Edit)
DEFAULT_AUDIT_COUNT: Final = 20
MAX_AUDIT_COUNT: Final = 50


class OperatorApplication:
    """Authorizes and parses operators' requests and passes them to the node."""

    def __init__(
        self, service: OperatorService, token: str, metrics: MetricsPage
    ) -> None:
        """Initializes the application.

        Args:
            service: The node.
            token: The bearer token that requests must have; if it is empty,
                all requests are refused except those for metrics.
            metrics: The metrics page, which needs no token.
        """
        self._service = service
        self._metrics = metrics
        self._expected_authorization = (
            f"Bearer {token}".encode() if token else b""
        )

    def should_close(self) -> bool:
        """Returns False, since operators' connections stay open."""
        return False

    def on_request(self, request: HttpRequest, respond: Respond) -> None:
        """Handles an operator's request; `respond` gets the response."""
        if (request.method, request.path) == ("GET", "/metrics"):
            page = self._metrics.render()
            respond(HttpResponse(200, page, content_type=CONTENT_TYPE))
            return
        if not self._is_authorized(request):
            detail = "the bearer token is missing or wrong"
            failure = invalid(detail)._replace(kind=FailureKind.UNAUTHORIZED)
            respond(encode_failure(failure))
            return
        parts = request.path.strip("/").split("/")
        match (request.method, [urllib.parse.unquote(x) for x in parts]):
            case ("GET", ["v1", "audit"]):
                self._respond_audit(request, respond)
            case ("GET", ["v1", name]):
                respond(self._read(name) or _make_not_found(request))
            case ("PUT", ["v1", "configuration"]):
                self._submit_classes(request, respond)
            case ("PUT", ["v1", "domains" | "servers" as kind, name]):
                self._submit_state(request, kind, name, respond)
            case _:
                respond(_make_not_found(request))

    def _read(self, name: str) -> HttpResponse | None:
        """Returns a part of the node's state; None if the name is unknown."""
        service = self._service
        match name:
            case "status":
                return encode_status(service.status())
            case "cluster":
                return encode_cluster(service.cluster())
            case "burn":
                return encode_burn(service.burn())
            case "configuration":
                return encode_configuration_response(service.configuration())
            case _:
                return None

    def _submit_state(
        self, request: HttpRequest, kind: str, name: str, respond: Respond
    ) -> None:
        def make_edit(is_out: bool) -> SetDomainState | SetServerState:
            if kind == "domains":
                return SetDomainState(name, is_out)
            return SetServerState(name, is_out)

        self._submit(request, parse_state(request.body).map(make_edit), respond)

    def _is_authorized(self, request: HttpRequest) -> bool:
        text = request.headers.get("Authorization", "")
        # The bytes as they were sent.
        presented = text.encode("latin-1")
        is_equal = hmac.compare_digest(presented, self._expected_authorization)
        return bool(self._expected_authorization) and is_equal

    def _submit(
        self,
        request: HttpRequest,
        edit: Result[EditType, Failure],
        respond: Respond,
    ) -> None:
        match edit:
            case Result(tag="ok", ok=parsed_edit):
                change = parse_change_headers(request, parsed_edit)
            case Result(error=failure):
                change = Error(failure)
        match change:
            case Result(tag="ok", ok=parsed):
                self._service.submit_change(
                    parsed, lambda result: respond(encode_change(result))
                )
            case Result(error=failure):
                respond(encode_failure(failure))

    def _submit_classes(self, request: HttpRequest, respond: Respond) -> None:
        if not request.headers.get("If-Match"):
            respond(encode_missing_precondition())
            return
        match parse_classes(request.body):
            case Result(tag="ok", ok=classes):
                self._submit(request, Ok(ReplaceClasses(classes)), respond)
            case Result(error=problems):
                respond(encode_problems(problems))

    def _respond_audit(self, request: HttpRequest, respond: Respond) -> None:
        query = urllib.parse.parse_qs(request.query)
        text = query.get("count", [str(DEFAULT_AUDIT_COUNT)])[0]
        if not text.isdecimal() or not 1 <= int(text) <= MAX_AUDIT_COUNT:
            detail = f"count is not 1 to {MAX_AUDIT_COUNT}"
            respond(encode_failure(invalid(detail)))
            return
        self._service.read_audit(
            int(text), lambda result: respond(encode_audit(result))
        )


def _make_not_found(request: HttpRequest) -> HttpResponse:
    failure = invalid(f"no {request.method} {request.path}")
    return encode_failure(failure._replace(kind=FailureKind.NOT_FOUND))
