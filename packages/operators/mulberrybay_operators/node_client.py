"""A blocking HTTP client that tries the given nodes in turn."""

import http.client
import json
import time
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode

FIRST_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 1.0
RESPONSE_TIMEOUT_S: Final = 6.0
# The node's deadline ends this long before the client's timeout, so that the
# client still receives "not accepted". Calls to the platform take up to 1 s.
RESPONSE_MARGIN_S: Final = 1.2
OK_STATUS: Final = 200
INVALID_STATUS: Final = 400
UNAVAILABLE_STATUS: Final = 503
MIN_TIMEOUT_S: Final = 0.05


class NodeRequest(NamedTuple):
    """An HTTP request to a node."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = {}


class NodeResponse(NamedTuple):
    """An HTTP response of a node; header names are in lower case."""

    address: Address
    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:  # noqa: ANN401
        """Returns the body parsed as JSON; an empty object if it is invalid."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    def describe(self) -> str:
        """Returns the status and the error as text."""
        document = self.json()
        error = document.get("error", {}) if isinstance(document, dict) else {}
        text = error.get("detail", "") or self.body.decode(errors="replace")
        step = f" at {error['step']}" if error.get("step") else ""
        peer = f" of {error['peer']}" if error.get("peer") else ""
        return f"{self.address} answered {self.status}{step}{peer}: {text}"


class NoResponse(NamedTuple):
    """The reason why there is no response from a node.

    Attributes:
        address: The address of the node.
        detail: The cause, with the address.
        was_sent: Whether the request may have reached the node.
    """

    address: Address
    detail: str
    was_sent: bool


def send_request(
    address: Address, request: NodeRequest, timeout_s: float
) -> Result[NodeResponse, NoResponse]:
    """Sends a request over a new connection and reads the response."""
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=max(timeout_s, MIN_TIMEOUT_S)
    )
    was_sent = False
    try:
        connection.connect()
        was_sent = True
        connection.request(
            request.method, request.path, request.body, dict(request.headers)
        )
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        detail = str(error) or type(error).__name__
        return Error(NoResponse(address, f"{address}: {detail}", was_sent))
    finally:
        connection.close()
    headers = {name.lower(): text for name, text in response.getheaders()}
    return Ok(NodeResponse(address, response.status, headers, body))


class NodeClient:
    """Sends requests to the given nodes.

    Attributes:
        timeout_s: Time limit for a request with all its retries.
    """

    def __init__(
        self, addresses: tuple[Address, ...], token: str, timeout_s: float
    ) -> None:
        self._addresses = list(addresses)
        self._authorization = (
            {"Authorization": f"Bearer {token}"} if token else {}
        )
        self.timeout_s = timeout_s

    @property
    def addresses(self) -> tuple[Address, ...]:
        """The addresses of the nodes, in the order in which they are tried."""
        return tuple(self._addresses)

    def send_once(
        self, address: Address, request: NodeRequest, timeout_s: float
    ) -> Result[NodeResponse, NoResponse]:
        """Sends a request to one node, without retries."""
        node_timeout_ms = max(1, int((timeout_s - RESPONSE_MARGIN_S) * 1000))
        headers = {
            **request.headers,
            **self._authorization,
            "X-Deadline-Ms": str(node_timeout_ms),
        }
        return send_request(
            address, request._replace(headers=headers), timeout_s
        )

    def send_with_retries(
        self, request: NodeRequest
    ) -> Result[NodeResponse, CommandFailure]:
        """Tries the nodes in turn until one returns another status than 503.

        A request that changes something must carry the identity of its
        change, since several nodes may receive it.
        """
        stop_at_s = time.monotonic() + self.timeout_s
        delay_s = FIRST_RETRY_DELAY_S
        last_detail = "no nodes are given"
        is_outcome_unknown = False
        is_change = request.method != "GET"
        was_attempted = False
        while True:
            for address in list(self._addresses):
                remaining_s = stop_at_s - time.monotonic()
                if (
                    is_change
                    and was_attempted
                    and remaining_s < RESPONSE_MARGIN_S
                ):
                    return Error(
                        _make_timeout_failure(
                            request, last_detail, is_outcome_unknown
                        )
                    )
                was_attempted = True
                match self.send_once(
                    address, request, min(remaining_s, RESPONSE_TIMEOUT_S)
                ):
                    case Result(tag="ok", ok=response):
                        if response.status != UNAVAILABLE_STATUS:
                            self._move_to_front(address)
                            return Ok(response)
                        last_detail = response.describe()
                        outcome = response.json().get("outcome")
                        is_outcome_unknown = (
                            is_outcome_unknown or outcome == "not_known"
                        )
                    case Result(error=no_response):
                        last_detail = no_response.detail
                        is_outcome_unknown = (
                            is_outcome_unknown or no_response.was_sent
                        )
                if time.monotonic() >= stop_at_s:
                    return Error(
                        _make_timeout_failure(
                            request, last_detail, is_outcome_unknown
                        )
                    )
            time.sleep(max(0.0, min(delay_s, stop_at_s - time.monotonic())))
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)

    def read_document(self, path: str) -> Result[Any, CommandFailure]:
        """Returns a resource as JSON from the first node that responds."""
        return self.send_with_retries(NodeRequest("GET", path)).bind(
            _parse_response
        )

    def _move_to_front(self, address: Address) -> None:
        """Moves a node that responded to the front, to be tried first."""
        self._addresses.remove(address)
        self._addresses.insert(0, address)


def _parse_response(response: NodeResponse) -> Result[Any, CommandFailure]:
    if response.status == OK_STATUS:
        return Ok(response.json())
    is_invalid = response.status == INVALID_STATUS
    code = ExitCode.USAGE if is_invalid else ExitCode.FAILED
    return Error(CommandFailure(code, response.describe()))


def _make_timeout_failure(
    request: NodeRequest, detail: str, is_outcome_unknown: bool
) -> CommandFailure:
    if request.method == "GET":
        return CommandFailure(
            ExitCode.FAILED, f"no node could answer: {detail}"
        )
    if is_outcome_unknown:
        return CommandFailure(
            ExitCode.NOT_KNOWN,
            f"not known whether the change was accepted: {detail}",
        )
    return CommandFailure(ExitCode.FAILED, f"not accepted: {detail}")
