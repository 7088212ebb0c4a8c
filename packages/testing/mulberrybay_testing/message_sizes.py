"""Costs that grow with the number of nodes, classes of work and servers."""

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

PrintFigure = Callable[[str, float, str], None]


def print_sizes(print_figure: PrintFigure) -> None:
    """Prints message sizes, memory of members and time to read a VM list."""
    for count in MEMBER_COUNTS:
        heartbeat_bytes, ack_bytes = measure_heartbeat_bytes(count)
        print_figure(
            f"{count} members: one heartbeat", heartbeat_bytes, "bytes"
        )
    print_figure("one answer to a heartbeat", ack_bytes, "bytes")
    print_figure(
        "per 1,000 members known",
        measure_member_memory_bytes(1000) / 2**20,
        "MiB",
    )
    print_figure(
        "one more class in the configuration", measure_class_bytes(), "bytes"
    )
    body = encode_vm_list(1000)
    print_figure("a list of 1,000 VMs", len(body) / 1024, "KiB")
    print_figure("reading a list of 1,000 VMs", measure_vm_list_ms(body), "ms")
    one_attempt_bytes, twenty_attempts_bytes = (
        measure_batch_bytes(1),
        measure_batch_bytes(20),
    )
    print_figure("a batch of attempts, the first", one_attempt_bytes, "bytes")
    print_figure(
        "a batch of attempts, each more",
        (twenty_attempts_bytes - one_attempt_bytes) / 19,
        "bytes",
    )
    print_figure("a reply with two hits", measure_reply_bytes(), "bytes")


def _measure_frame_bytes(message: PeerMessage) -> int:
    return len(wrap_frame(encode_message(message, 0.0)))


def make_member(index: int) -> NodeInfo:
    """Returns a member as a heartbeat describes it."""
    address = Address(f"10.0.{index // 250}.{index % 250}", 7400)
    return NodeInfo(f"node-{index:04d}", f"d{index % 4}", address, address)


def make_membership(member_count: int) -> Membership:
    """Returns the membership of a node that knows `member_count` members.

    The node itself is included; there is at least one other member.
    """
    membership = Membership(MembershipSettings(), make_member(0), 1)
    for index in range(1, max(2, member_count)):
        membership.update_member(make_member(index), 0.0)
    return membership


def measure_heartbeat_bytes(member_count: int) -> tuple[int, int]:
    """Returns the sizes of a heartbeat and of its answer in bytes.

    With a member count of 1 the heartbeat has no members and no grants.
    """
    heartbeat = make_membership(member_count).make_heartbeat("node-0001", 0.0)
    granted_epochs = [
        NodeEpoch(make_member(index).node_id, 1)
        for index in range(1, member_count)
    ]
    heartbeat = heartbeat._replace(granted=tuple(granted_epochs))
    if member_count == 1:
        heartbeat = heartbeat._replace(members=())
    ack = HeartbeatAck("node-0001", 1, True, 0, 1)
    return _measure_frame_bytes(heartbeat), _measure_frame_bytes(ack)


def measure_member_memory_bytes(member_count: int) -> int:
    """Returns the memory that a membership allocates, in bytes."""
    tracemalloc.start()
    membership = make_membership(member_count)
    traced_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del membership
    return traced_bytes


def measure_class_bytes() -> int:
    """Returns the size of one class of work in the configuration's JSON."""
    targets = Targets(250.0, 99.0, 99.0, 5.0)
    work_class = WorkClass("field-search", False, targets)
    configuration = EMPTY_CONFIGURATION._replace(classes=(work_class,) * 2)
    two_classes_bytes = len(json.dumps(encode_configuration(configuration)))
    configuration = configuration._replace(classes=(work_class,))
    return two_classes_bytes - len(
        json.dumps(encode_configuration(configuration))
    )


def encode_vm_list(vm_count: int) -> bytes:
    """Returns the platform's VM list with a number of backend servers."""
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


def measure_vm_list_ms(body: bytes) -> float:
    """Returns the least CPU time of several readings of a VM list, in ms."""
    reply = HttpReply(200, {}, body, True)

    def measure_read_s() -> float:
        started_at_s = time.process_time()
        decode_vm_list(reply)
        return time.process_time() - started_at_s

    return 1000 * min(measure_read_s() for _ in range(20))


def measure_batch_bytes(attempt_count: int) -> int:
    """Returns the size of a batch of attempts with a short query, in bytes."""
    attempts = tuple(
        Attempt(index, SERVER_ID, index) for index in range(attempt_count)
    )
    return _measure_frame_bytes(
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


def measure_reply_bytes() -> int:
    """Returns the size of a shard reply with two hits, in bytes."""
    reply = AttemptReply(
        1, SERVER_ID, AttemptOutcome.OK, RunState.RAN, body=HIT_JSON
    )
    return _measure_frame_bytes(AttemptReplyMessage("abcdefabcdef-1234", reply))
