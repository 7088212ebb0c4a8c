"""The HTTP interface for operators."""

import json

from mulberrybay_core.operator_messages import NodeStatus, OperatorService
from mulberrybay_runtime.http_server import HttpRequest, HttpResponse, Respond


class OperatorApplication:
    """Answers operators' requests."""

    def __init__(self, service: OperatorService) -> None:
        self._service = service

    def should_close(self) -> bool:
        """Returns False: operators keep their connections."""
        return False

    def on_request(self, request: HttpRequest, respond: Respond) -> None:
        """Answers an operator's request."""
        if (request.method, request.path) == ("GET", "/v1/status"):
            respond(encode_status(self._service.status()))
            return
        respond(HttpResponse(404, b'{"error": {"kind": "not_found"}}'))


def encode_status(status: NodeStatus) -> HttpResponse:
    """Returns a node's status as JSON."""
    document = {
        "node_id": status.info.node_id,
        "failure_domain": status.info.failure_domain,
        "is_serving": status.info.is_serving,
        "is_leaving": status.info.is_leaving,
        "revision": status.revision,
        "has_lease": status.has_lease,
        "epoch": status.epoch,
        "members": [info.node_id for info in status.members],
        "held_count": status.held_count,
        "claiming_count": status.claiming_count,
        "active_count": status.active_count,
        "outstanding_count": status.outstanding_count,
    }
    return HttpResponse(200, json.dumps(document).encode())
