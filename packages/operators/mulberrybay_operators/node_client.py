"""A blocking HTTP client that asks the given nodes in turn."""

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
# A node is told to answer this much before the client stops waiting, so that
# its "not accepted" is heard. The platform's calls take up to 1 s.
RESPONSE_MARGIN_S: Final = 1.2
OK_STATUS: Final = 200
INVALID_STATUS: Final = 400
UNAVAILABLE_STATUS: Final = 503
MIN_TIMEOUT_S: Final = 0.05


class NodeRequest(NamedTuple):
    """What to ask of a node."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = {}


class NodeResponse(NamedTuple):
    """What a node answered; header names are in lower case."""

    address: Address
    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:  # noqa: ANN401
        """Returns the body parsed as JSON; an empty object if it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    def describe(self) -> str:
        """Returns the status and the error for people."""
        document = self.json()
        error = document.get("error", {}) if isinstance(document, dict) else {}
        text = error.get("detail", "") or self.body.decode(errors="replace")
        step = f" at {error['step']}" if error.get("step") else ""
        peer = f" of {error['peer']}" if error.get("peer") else ""
        return f"{self.address} answered {self.status}{step}{peer}: {text}"


class NoResponse(NamedTuple):
    """A node gave no answer.

    Attributes:
        address: The node.
        detail: Why.
        was_sent: Whether the request may have reached it.
    """

    address: Address
    detail: str
    was_sent: bool


def send_request(
    address: Address, request: NodeRequest, timeout_s: float
) -> Result[NodeResponse, NoResponse]:
    """Sends one request on a connection of its own."""
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
    """Asks nodes in turn until one can answer.

    Attributes:
        timeout_s: How long to go on.
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
        """The nodes to ask."""
        return tuple(self._addresses)

    def send_once(
        self, address: Address, request: NodeRequest, timeout_s: float
    ) -> Result[NodeResponse, NoResponse]:
        """Asks one node once."""
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
        """Asks until a node answers with other than "unavailable".

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
        """Returns the JSON of a resource from the first node that answers."""
        return self.send_with_retries(NodeRequest("GET", path)).bind(
            _parse_response
        )

    def _move_to_front(self, address: Address) -> None:
        """Asks a node that has answered first from now on."""
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
