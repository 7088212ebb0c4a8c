"""Encodes and decodes messages between nodes with Cap'n Proto."""

import pathlib
from collections.abc import Callable, Iterable
from typing import Any, Final

import capnp

from mulberrybay_core.addresses import Address
from mulberrybay_core.attempts import (
    Attempt,
    AttemptBatch,
    AttemptKind,
    AttemptOutcome,
    AttemptReply,
    ServerLoad,
)
from mulberrybay_core.errors import RunState
from mulberrybay_core.fleet_messages import FleetRequest, FleetUpdate
from mulberrybay_core.member_messages import (
    Claim,
    ClaimAnswer,
    ConfigurationRequest,
    ConfigurationUpdate,
    Goodbye,
    Heartbeat,
    HeartbeatAck,
    NodeEpoch,
    NodeInfo,
)
from mulberrybay_nodes.fleet_codec import (
    decode_fleet_request,
    decode_fleet_update,
    encode_fleet_request,
    encode_fleet_update,
)
from mulberrybay_nodes.peer_messages import (
    AttemptReplyMessage,
    CancelMessage,
    PeerMessage,
)

PROTOCOL_VERSION: Final = 1
_SCHEMA: Final = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))
_RUN_STATES: Final = (RunState.RAN, RunState.NOT_RUN, RunState.UNKNOWN)
_MAX_UINT16: Final = 65535


class FrameError(Exception):
    """A frame is malformed or has another protocol version."""


def encode_message(message: PeerMessage, now_s: float) -> bytes:
    """Returns the frame of a message, without its length.

    Args:
        message: The message to encode.
        now_s: The current time; deadlines are encoded as the time left.
    """
    frame = _SCHEMA.Frame.new_message(version=PROTOCOL_VERSION)
    _ENCODERS[type(message)](frame, message, now_s)
    return bytes(frame.to_bytes())


def decode_message(payload: bytes, now_s: float) -> PeerMessage:
    """Returns the message of a frame.

    Args:
        payload: The frame without its length.
        now_s: The current time, to which the encoded time left is added.

    Raises:
        FrameError: The frame is malformed or has another protocol version.
    """
    try:
        with _SCHEMA.Frame.from_bytes(payload) as frame:
            if frame.version != PROTOCOL_VERSION:
                raise FrameError(
                    f"unsupported protocol version {frame.version}"
                )
            name = str(frame.which())
            return _DECODERS[name](getattr(frame, name), now_s)
    except (capnp.KjException, ValueError, KeyError, IndexError) as error:
        raise FrameError(f"malformed frame: {error}") from error


def _fill_node(target: Any, info: NodeInfo) -> None:  # noqa: ANN401
    target.nodeId = info.node_id
    target.failureDomain = info.failure_domain
    target.peerAddress.host = info.peer_address.host
    target.peerAddress.port = info.peer_address.port
    target.callerAddress.host = info.caller_address.host
    target.callerAddress.port = info.caller_address.port
    target.isLeaving = info.is_leaving
    target.isServing = info.is_serving
    target.operatorPort = info.operator_port


def _read_node(source: Any) -> NodeInfo:  # noqa: ANN401
    return NodeInfo(
        node_id=source.nodeId,
        failure_domain=source.failureDomain,
        peer_address=Address(source.peerAddress.host, source.peerAddress.port),
        caller_address=Address(
            source.callerAddress.host, source.callerAddress.port
        ),
        is_leaving=source.isLeaving,
        is_serving=source.isServing,
        operator_port=source.operatorPort,
    )


def _fill_epochs(target: Any, epochs: Iterable[NodeEpoch]) -> None:  # noqa: ANN401
    for item, epoch in zip(target, epochs, strict=True):
        item.nodeId = epoch.node_id
        item.epoch = epoch.epoch


def _read_epochs(source: Any) -> tuple[NodeEpoch, ...]:  # noqa: ANN401
    return tuple(NodeEpoch(item.nodeId, item.epoch) for item in source)


def _encode_heartbeat(frame: Any, message: Heartbeat, _: float) -> None:  # noqa: ANN401
    target = frame.init("heartbeat")
    _fill_node(target.sender, message.sender)
    target.epoch = message.epoch
    target.sequence = message.sequence
    target.revision = message.revision
    _fill_epochs(target.init("lapsed", len(message.expired)), message.expired)
    _fill_epochs(target.init("granted", len(message.granted)), message.granted)
    members = target.init("members", len(message.members))
    for item, info in zip(members, message.members, strict=True):
        _fill_node(item, info)


def _decode_heartbeat(source: Any, _: float) -> Heartbeat:  # noqa: ANN401
    return Heartbeat(
        sender=_read_node(source.sender),
        epoch=source.epoch,
        sequence=source.sequence,
        revision=source.revision,
        expired=_read_epochs(source.lapsed),
        granted=_read_epochs(source.granted),
        members=tuple(_read_node(item) for item in source.members),
    )


def _encode_ack(frame: Any, message: HeartbeatAck, _: float) -> None:  # noqa: ANN401
    target = frame.init("heartbeatAck")
    target.senderId = message.sender_id
    target.sequence = message.sequence
    target.isGranted = message.is_granted
    target.lapsedEpoch = message.expired_epoch
    target.revision = message.revision


def _decode_ack(source: Any, _: float) -> HeartbeatAck:  # noqa: ANN401
    return HeartbeatAck(
        sender_id=source.senderId,
        sequence=source.sequence,
        is_granted=source.isGranted,
        expired_epoch=source.lapsedEpoch,
        revision=source.revision,
    )


def _encode_goodbye(frame: Any, message: Goodbye, _: float) -> None:  # noqa: ANN401
    target = frame.init("goodbye")
    target.nodeId = message.node_id
    target.epoch = message.epoch


def _decode_goodbye(source: Any, _: float) -> Goodbye:  # noqa: ANN401
    return Goodbye(source.nodeId, source.epoch)


def _encode_claim(frame: Any, message: Claim, _: float) -> None:  # noqa: ANN401
    target = frame.init("claim")
    target.senderId = message.sender_id
    target.epoch = message.epoch
    target.claimId = message.claim_id
    target.serverIds = list(message.server_ids)


def _decode_claim(source: Any, _: float) -> Claim:  # noqa: ANN401
    return Claim(
        sender_id=source.senderId,
        epoch=source.epoch,
        claim_id=source.claimId,
        server_ids=tuple(source.serverIds),
    )


def _encode_claim_answer(frame: Any, message: ClaimAnswer, _: float) -> None:  # noqa: ANN401
    target = frame.init("claimAnswer")
    target.senderId = message.sender_id
    target.claimEpoch = message.claim_epoch
    target.claimId = message.claim_id
    target.releasedIds = list(message.released_ids)


def _decode_claim_answer(source: Any, _: float) -> ClaimAnswer:  # noqa: ANN401
    return ClaimAnswer(
        sender_id=source.senderId,
        claim_epoch=source.claimEpoch,
        claim_id=source.claimId,
        released_ids=tuple(source.releasedIds),
    )


def _encode_configuration_request(
    frame: Any,  # noqa: ANN401
    message: ConfigurationRequest,
    _: float,
) -> None:
    target = frame.init("configurationRequest")
    target.senderId = message.sender_id
    target.knownRevision = message.known_revision


def _decode_configuration_request(
    source: Any,  # noqa: ANN401
    _: float,
) -> ConfigurationRequest:
    return ConfigurationRequest(source.senderId, source.knownRevision)


def _encode_configuration_update(
    frame: Any,  # noqa: ANN401
    message: ConfigurationUpdate,
    _: float,
) -> None:
    target = frame.init("configurationUpdate")
    target.senderId = message.sender_id
    target.revision = message.revision
    target.documentJson = message.document_json


def _decode_configuration_update(
    source: Any,  # noqa: ANN401
    _: float,
) -> ConfigurationUpdate:
    return ConfigurationUpdate(
        source.senderId, source.revision, bytes(source.documentJson)
    )


def _encode_batch(frame: Any, message: AttemptBatch, now_s: float) -> None:  # noqa: ANN401
    target = frame.init("attemptBatch")
    target.queryId = message.query_id
    target.kind = int(message.kind)
    target.className = message.class_name
    target.indexVersion = message.index_version
    target.timeLeftUs = int((message.deadline_at_s - now_s) * 1e6)
    target.idempotencyKey = message.idempotency_key
    target.body = message.body
    attempts = target.init("attempts", len(message.attempts))
    for item, attempt in zip(attempts, message.attempts, strict=True):
        item.attemptId = attempt.attempt_id
        item.serverId = attempt.server_id
        item.shard = attempt.shard


def _decode_batch(source: Any, now_s: float) -> AttemptBatch:  # noqa: ANN401
    return AttemptBatch(
        query_id=source.queryId,
        kind=AttemptKind(source.kind),
        class_name=source.className,
        index_version=source.indexVersion,
        deadline_at_s=now_s + source.timeLeftUs / 1e6,
        idempotency_key=source.idempotencyKey,
        attempts=tuple(
            Attempt(item.attemptId, item.serverId, item.shard)
            for item in source.attempts
        ),
        body=bytes(source.body),
    )


def _encode_reply(frame: Any, message: AttemptReplyMessage, _: float) -> None:  # noqa: ANN401
    reply = message.reply
    target = frame.init("attemptReply")
    target.queryId = message.query_id
    target.attemptId = reply.attempt_id
    target.serverId = reply.server_id
    target.outcome = int(reply.outcome)
    target.runState = _RUN_STATES.index(reply.run_state)
    target.indexVersions = list(reply.index_versions)
    target.serviceTimeUs = int(reply.service_time_ms * 1000)
    target.retryAfterMs = int(reply.retry_after_ms)
    target.outstandingCount = min(reply.load.outstanding_count, _MAX_UINT16)
    target.queuedCount = min(reply.load.queued_count, _MAX_UINT16)
    target.limitCount = min(reply.load.limit_count, _MAX_UINT16)
    target.body = reply.body


def _decode_reply(source: Any, _: float) -> AttemptReplyMessage:  # noqa: ANN401
    reply = AttemptReply(
        attempt_id=source.attemptId,
        server_id=source.serverId,
        outcome=AttemptOutcome(source.outcome),
        run_state=_RUN_STATES[source.runState],
        index_versions=tuple(source.indexVersions),
        service_time_ms=source.serviceTimeUs / 1000,
        retry_after_ms=float(source.retryAfterMs),
        load=ServerLoad(
            source.outstandingCount, source.queuedCount, source.limitCount
        ),
        body=bytes(source.body),
    )
    return AttemptReplyMessage(source.queryId, reply)


def _encode_cancel(frame: Any, message: CancelMessage, _: float) -> None:  # noqa: ANN401
    target = frame.init("cancel")
    target.queryId = message.query_id
    target.attemptIds = list(message.attempt_ids)


def _decode_cancel(source: Any, _: float) -> CancelMessage:  # noqa: ANN401
    return CancelMessage(source.queryId, tuple(source.attemptIds))


_ENCODERS: Final[dict[type, Callable[[Any, Any, float], None]]] = {
    Heartbeat: _encode_heartbeat,
    HeartbeatAck: _encode_ack,
    Goodbye: _encode_goodbye,
    Claim: _encode_claim,
    ClaimAnswer: _encode_claim_answer,
    ConfigurationRequest: _encode_configuration_request,
    ConfigurationUpdate: _encode_configuration_update,
    FleetRequest: encode_fleet_request,
    FleetUpdate: encode_fleet_update,
    AttemptBatch: _encode_batch,
    AttemptReplyMessage: _encode_reply,
    CancelMessage: _encode_cancel,
}

_DECODERS: Final[dict[str, Callable[[Any, float], PeerMessage]]] = {
    "heartbeat": _decode_heartbeat,
    "heartbeatAck": _decode_ack,
    "goodbye": _decode_goodbye,
    "claim": _decode_claim,
    "claimAnswer": _decode_claim_answer,
    "configurationRequest": _decode_configuration_request,
    "configurationUpdate": _decode_configuration_update,
    "fleetRequest": decode_fleet_request,
    "fleetUpdate": decode_fleet_update,
    "attemptBatch": _decode_batch,
    "attemptReply": _decode_reply,
    "cancel": _decode_cancel,
}
