"""Sizes and times of what grows with the number of nodes, classes and servers."""

from __future__ import annotations

import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

from mulberrybay_core.addresses import Address
from mulberrybay_core.attempts import (
    Attempt,
    AttemptBatch,
    AttemptKind,
    AttemptOutcome,
    AttemptReply,
)
from mulberrybay_core.configuration import (
    EMPTY_CONFIGURATION,
    Targets,
    WorkClass,
)
from mulberrybay_core.documents import encode_configuration
from mulberrybay_core.errors import RunState
from mulberrybay_core.member_messages import HeartbeatAck, NodeEpoch, NodeInfo
from mulberrybay_core.membership import Membership, MembershipSettings
from mulberrybay_nodes.codec import encode_message
from mulberrybay_nodes.frames import wrap_frame
from mulberrybay_nodes.peer_messages import AttemptReplyMessage, PeerMessage
from mulberrybay_platform.vm_list import decode_vm_list
from mulberrybay_runtime.http_exchange import HttpReply

MEMBER_COUNTS: Final = (1, 3, 24, 100, 1000)
HIT_JSON: Final = b'[{"id": "1/0/aaaaaaaa/0"}, {"id": "1/0/aaaaaaaa/1"}]'
SERVER_ID: Final = "vm-field-search-07-14"

Show = Callable[[str, float, str], None]


def show_sizes(show: Show) -> None:
    """Prints the bytes of messages and the memory of members."""
    for count in MEMBER_COUNTS:
        heartbeat_bytes, ack_bytes = size_heartbeats(count)
        show(f"{count} members: one heartbeat", heartbeat_bytes, "bytes")
    show("one answer to a heartbeat", ack_bytes, "bytes")
    show("per 1,000 members known", size_members(1000) / 2**20, "MiB")
    show("one more class in the configuration", size_class(), "bytes")
    body = encode_vm_list(1000)
    show("a list of 1,000 VMs", len(body) / 1024, "KiB")
    show("reading a list of 1,000 VMs", time_vm_list(body), "ms")
    one, twenty = size_batch(1), size_batch(20)
    show("a batch of attempts, the first", one, "bytes")
    show("a batch of attempts, each more", (twenty - one) / 19, "bytes")
    show("a reply with two hits", size_reply(), "bytes")


def _frame_bytes(message: PeerMessage) -> int:
    return len(wrap_frame(encode_message(message, 0.0)))


def make_member(index: int) -> NodeInfo:
    """Returns a member as a heartbeat names it."""
    address = Address(f"10.0.{index // 250}.{index % 250}", 7400)
    return NodeInfo(f"node-{index:04d}", f"d{index % 4}", address, address)


def make_membership(member_count: int) -> Membership:
    """Returns the membership of a node that knows that many."""
    membership = Membership(MembershipSettings(), make_member(0), 1)
    for index in range(1, max(2, member_count)):
        membership.update_member(make_member(index), 0.0)
    return membership


def size_heartbeats(member_count: int) -> tuple[int, int]:
    """Returns the bytes of a heartbeat and of its answer.

    A count of 1 gives a heartbeat without any list.
    """
    heartbeat = make_membership(member_count).make_heartbeat("node-0001", 0.0)
    granted = [
        NodeEpoch(make_member(index).node_id, 1)
        for index in range(1, member_count)
    ]
    heartbeat = heartbeat._replace(granted=tuple(granted))
    if member_count == 1:
        heartbeat = heartbeat._replace(members=())
    ack = HeartbeatAck("node-0001", 1, True, 0, 1)
    return _frame_bytes(heartbeat), _frame_bytes(ack)


def size_members(member_count: int) -> int:
    """Returns the bytes that members take in memory."""
    tracemalloc.start()
    membership = make_membership(member_count)
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del membership
    return traced_bytes


def size_class() -> int:
    """Returns the bytes of one class in the configuration's JSON."""
    targets = Targets(250.0, 99.0, 99.0, 5.0)
    work_class = WorkClass("field-search", False, targets)
    configuration = EMPTY_CONFIGURATION._replace(classes=(work_class,) * 2)
    two = len(json.dumps(encode_configuration(configuration)))
    configuration = configuration._replace(classes=(work_class,))
    return two - len(json.dumps(encode_configuration(configuration)))


def encode_vm_list(vm_count: int) -> bytes:
    """Returns the platform's list of that many backend servers."""
    vms = [
        {
            "vm_id": f"{SERVER_ID}-{index}",
            "role": "backend",
            "failure_domain": "d1",
            "host": "10.0.0.1",
            "port": 7400,
            "service": "field-search/07",
            "state": "live",
            "slot_count": 3,
            "connection_cap": 30,
        }
        for index in range(vm_count)
    ]
    return json.dumps({"vms": vms}).encode()


def time_vm_list(body: bytes) -> float:
    """Returns the CPU time of reading a list, in ms, the best of some."""
    reply = HttpReply(200, {}, body, True)

    def read() -> float:
        began_at_s = time.process_time()
        decode_vm_list(reply)
        return time.process_time() - began_at_s

    return 1000 * min(read() for _ in range(20))


def size_batch(attempt_count: int) -> int:
    """Returns the bytes of a batch of attempts with a short query."""
    attempts = tuple(
        Attempt(index, SERVER_ID, index) for index in range(attempt_count)
    )
    return _frame_bytes(
        AttemptBatch(
            query_id="abcdefabcdef-1234",
            kind=AttemptKind.SEARCH,
            class_name="field-search",
            index_version=1,
            deadline_at_s=1.0,
            idempotency_key="",
            attempts=attempts,
            body=b'{"text": "brine valve"}',
        )
    )


def size_reply() -> int:
    """Returns the bytes of a reply."""
    reply = AttemptReply(
        1, SERVER_ID, AttemptOutcome.OK, RunState.RAN, body=HIT_JSON
    )
    return _frame_bytes(AttemptReplyMessage("abcdefabcdef-1234", reply))
