"""The command `audit` when old audit entries have been deleted."""

import json

import pytest
from expression import Ok, Result

from mulberrybay_core.addresses import Address
from mulberrybay_core.audit import AuditEntry, encode_audit_entry
from mulberrybay_operators.command_line import Audit
from mulberrybay_operators.node_client import (
    NodeClient,
    NodeRequest,
    NodeResponse,
    NoResponse,
)
from mulberrybay_operators.node_commands import show_audit
from mulberrybay_operators.outputs import Session


class AuditClient(NodeClient):
    """Returns the entries of the given revisions, newest first."""

    def __init__(self, revisions: tuple[int, ...]) -> None:
        super().__init__((Address("10.0.0.1", 7003),), "token", 1.0)
        entries = [
            AuditEntry(x, x - 1, f"c{x}", "amina", 1.7e9, "d2 out")
            for x in revisions
        ]
        encoded = [encode_audit_entry(entry) for entry in entries]
        self._body = json.dumps({"entries": encoded}).encode()

    def send_once(
        self, address: Address, request: NodeRequest, timeout_s: float
    ) -> Result[NodeResponse, NoResponse]:
        return Ok(NodeResponse(address, 200, {}, self._body))


@pytest.mark.parametrize(
    ("revisions", "count", "missing", "text"),
    [
        ((9, 8, 7), 3, [], ""),
        ((2, 1), 20, [], ""),
        ((), 20, [], ""),
        ((9, 8, 7), 5, [6, 5], "no audit entry exists for revisions 6 to 5"),
        ((9, 7, 6), 9, [8, 5, 4, 3, 2, 1], "for revisions 8, 5 to 1"),
    ],
)
def test_audit_lists_revisions_without_an_entry(
    revisions: tuple[int, ...], count: int, missing: list[int], text: str
) -> None:
    """Deleted entries are reported, so that gaps don't pass unnoticed."""
    session = Session(AuditClient(revisions), "amina")
    output = show_audit(session, Audit(count=count)).ok
    assert output.document["missing_revisions"] == missing
    assert text in output.text
    assert ("no audit entry" in output.text) is bool(text)
