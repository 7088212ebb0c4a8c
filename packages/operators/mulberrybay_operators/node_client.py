"""A blocking HTTP client that asks the given nodes in turn."""

import http.client
import json
import time
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode

FIRST_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 1.0
ANSWER_LIMIT_S: Final = 6.0
# A node is told to answer this much before the client stops waiting, so that
# its "not accepted" is heard. The platform's calls take up to 1 s.
ANSWER_MARGIN_S: Final = 1.2
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


class NodeAnswer(NamedTuple):
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


class NoAnswer(NamedTuple):
    """A node gave no answer.

    Attributes:
        address: The node.
        detail: Why.
        was_sent: Whether the request may have reached it.
    """

    address: Address
    detail: str
    was_sent: bool


def ask_node(
    address: Address, request: NodeRequest, timeout_s: float
) -> Result[NodeAnswer, NoAnswer]:
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
        return Error(NoAnswer(address, f"{address}: {detail}", was_sent))
    finally:
        connection.close()
    headers = {name.lower(): text for name, text in response.getheaders()}
    return Ok(NodeAnswer(address, response.status, headers, body))


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

    def ask(
        self, address: Address, request: NodeRequest, timeout_s: float
    ) -> Result[NodeAnswer, NoAnswer]:
        """Asks one node once."""
        limit_ms = max(1, int((timeout_s - ANSWER_MARGIN_S) * 1000))
        headers = {
            **request.headers,
            **self._authorization,
            "X-Deadline-Ms": str(limit_ms),
        }
        return ask_node(address, request._replace(headers=headers), timeout_s)

    def send(self, request: NodeRequest) -> Result[NodeAnswer, CommandFailure]:
        """Asks until a node answers with other than "unavailable".

        A request that changes something must carry the identity of its
        change, since several nodes may receive it.
        """
        ends_at_s = time.monotonic() + self.timeout_s
        pause_s = FIRST_PAUSE_S
        last_detail = "no nodes are given"
        is_unknown = False
        is_change = request.method != "GET"
        was_asked = False
        while True:
            for address in list(self._addresses):
                left_s = ends_at_s - time.monotonic()
                if is_change and was_asked and left_s < ANSWER_MARGIN_S:
                    return Error(_give_up(request, last_detail, is_unknown))
                was_asked = True
                match self.ask(address, request, min(left_s, ANSWER_LIMIT_S)):
                    case Result(tag="ok", ok=answer):
                        if answer.status != UNAVAILABLE_STATUS:
                            self._prefer(address)
                            return Ok(answer)
                        last_detail = answer.describe()
                        outcome = answer.json().get("outcome")
                        is_unknown = is_unknown or outcome == "not_known"
                    case Result(error=no_answer):
                        last_detail = no_answer.detail
                        is_unknown = is_unknown or no_answer.was_sent
                if time.monotonic() >= ends_at_s:
                    return Error(_give_up(request, last_detail, is_unknown))
            time.sleep(max(0.0, min(pause_s, ends_at_s - time.monotonic())))
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)

    def read_document(self, path: str) -> Result[Any, CommandFailure]:
        """Returns the JSON of a resource from the first node that answers."""
        return self.send(NodeRequest("GET", path)).bind(_read_body)

    def _prefer(self, address: Address) -> None:
        """Asks a node that has answered first from now on."""
        self._addresses.remove(address)
        self._addresses.insert(0, address)


def _read_body(answer: NodeAnswer) -> Result[Any, CommandFailure]:
    if answer.status == OK_STATUS:
        return Ok(answer.json())
    is_usage = answer.status == INVALID_STATUS
    code = ExitCode.USAGE if is_usage else ExitCode.FAILED
    return Error(CommandFailure(code, answer.describe()))


def _give_up(
    request: NodeRequest, detail: str, is_unknown: bool
) -> CommandFailure:
    if request.method == "GET":
        return CommandFailure(
            ExitCode.FAILED, f"no node could answer: {detail}"
        )
    if is_unknown:
        return CommandFailure(
            ExitCode.NOT_KNOWN,
            f"not known whether the change was accepted: {detail}",
        )
    return CommandFailure(ExitCode.FAILED, f"not accepted: {detail}")
