"""Encodes heartbeats as compressed Cap'n Proto messages and decodes them."""

import pathlib
import zlib
from typing import Any, Final

import capnp

from mulberrybay_core.addresses import Address
from mulberrybay_core.edge_nodes import EdgeHeartbeat, EdgeNodeInfo
from mulberrybay_core.fatal_requests import Crash, SuspectReport
from mulberrybay_core.node_checks import MAX_ROLLOUT_COUNT, check_heartbeat
from mulberrybay_core.rollouts import ArmCounts, RolloutCounts
from mulberrybay_core.tenants.quotas import TenantDemand

PROTOCOL_VERSION: Final = 2
SCHEMA: Final = capnp.load(str(pathlib.Path(__file__).with_name("edge.capnp")))
COMPRESSION_LEVEL: Final = 1
# More than the uncompressed size of a heartbeat with long names and the most
# reports.
MAX_HEARTBEAT_BYTES: Final = 8192


class HeartbeatError(Exception):
    """A datagram is malformed or has another protocol version."""


def encode_heartbeat(heartbeat: EdgeHeartbeat) -> bytes:
    """Returns the datagram of a heartbeat.

    It is compressed because with many nodes heartbeats are a large part of
    the traffic between failure domains. Cap'n Proto's packed encoding would
    also be small, but decoding a malformed packed message ends the process.
    """
    data = _encode_message(heartbeat)
    while len(data) > MAX_HEARTBEAT_BYTES and heartbeat.rollouts:
        # Receivers reject a longer message as a whole.
        heartbeat = heartbeat._replace(rollouts=heartbeat.rollouts[:-1])
        data = _encode_message(heartbeat)
    return zlib.compress(data, COMPRESSION_LEVEL)


def _encode_message(heartbeat: EdgeHeartbeat) -> bytes:
    sender = heartbeat.sender
    message = SCHEMA.EdgeHeartbeat.new_message(
        version=PROTOCOL_VERSION,
        name=sender.name,
        incarnation=sender.incarnation,
        failureDomain=sender.failure_domain,
        callerHost=sender.caller_address.host,
        callerPort=sender.caller_address.port,
        peerHost=sender.peer_address.host,
        peerPort=sender.peer_address.port,
        isServing=heartbeat.is_serving,
        configurationRevision=heartbeat.configuration_revision,
        changedVersions=list(heartbeat.changed_versions),
        attemptsPerS=heartbeat.attempts_per_s,
        storeAgeS=heartbeat.store_age_s,
        cpuCores=sender.cpu_cores,
        isRestoring=heartbeat.is_restoring,
        isHub=heartbeat.is_hub,
        lacksServers=heartbeat.lacks_servers,
        suspects=[_encode_report(report) for report in heartbeat.suspects],
    )
    if heartbeat.rollouts:
        message.rollouts = [
            _encode_rollout(counts)
            for counts in heartbeat.rollouts[:MAX_ROLLOUT_COUNT]
        ]
    if heartbeat.tenants:
        message.tenants = [
            {
                "key": demand.key,
                "ownPerS": demand.own_per_s,
                "ownCount": demand.own_count,
                "allPerS": demand.all_per_s,
                "allCount": demand.all_count,
            }
            for demand in heartbeat.tenants
        ]
    return bytes(message.to_bytes())


def _encode_rollout(counts: RolloutCounts) -> dict[str, Any]:
    return {
        "service": counts.service,
        "targetVersion": counts.target_version,
        "ageS": counts.age_s,
        "arms": [
            {
                "isNew": is_new,
                # A name in JSON may have surrogates that UTF-8 can't carry.
                "route": route.encode(errors="replace").decode(),
                "replyCount": arm.reply_count,
                "badCount": arm.bad_count,
                "latencyCount": arm.latency_count,
                "logLatencySum": arm.log_latency_sum,
                "logLatencySquareSum": arm.log_latency_square_sum,
            }
            for (is_new, route), arm in counts.arms.items()
        ],
        "oldInFlightCount": counts.old_in_flight_count,
        "isCondemned": counts.is_condemned,
        "sentCount": counts.sent_count,
    }


def _decode_rollout(counts: Any) -> RolloutCounts:  # noqa: ANN401
    return RolloutCounts(
        counts.service,
        counts.targetVersion,
        counts.ageS,
        {
            (arm.isNew, arm.route): ArmCounts(
                arm.replyCount,
                arm.badCount,
                arm.logLatencySum,
                arm.logLatencySquareSum,
                arm.latencyCount,
            )
            for arm in counts.arms
        },
        counts.oldInFlightCount,
        counts.isCondemned,
        counts.sentCount,
    )


def _encode_report(report: SuspectReport) -> dict[str, Any]:
    return {
        "identity": report.identity,
        "crashes": [
            {
                "serverKey": crash.server_key,
                "hasStartTime": crash.has_start_time,
                "sentAgoS": -crash.sent_at_s,
                "crashedAgoS": -crash.crashed_at_s,
            }
            for crash in report.crashes
        ],
        "hasReplied": report.replied_ago_s is not None,
        "repliedAgoS": report.replied_ago_s or 0.0,
        "seenAgoS": report.seen_ago_s,
    }


def _decode_report(report: Any) -> SuspectReport:  # noqa: ANN401
    return SuspectReport(
        bytes(report.identity),
        tuple(
            Crash(
                crash.serverKey,
                crash.hasStartTime,
                -crash.sentAgoS,
                -crash.crashedAgoS,
            )
            for crash in report.crashes
        ),
        report.repliedAgoS if report.hasReplied else None,
        report.seenAgoS,
    )


def decode_heartbeat(data: bytes) -> EdgeHeartbeat:
    """Returns the heartbeat in a datagram.

    Raises:
        HeartbeatError: The datagram can't be decoded, or a value in it can't
            be used.
    """
    try:
        decompressor = zlib.decompressobj()
        decompressed = decompressor.decompress(data, MAX_HEARTBEAT_BYTES)
        if not decompressor.eof:
            raise HeartbeatError("truncated or too long")
        with SCHEMA.EdgeHeartbeat.from_bytes(decompressed) as message:
            if message.version != PROTOCOL_VERSION:
                raise HeartbeatError(
                    f"unsupported protocol version {message.version}"
                )
            heartbeat = EdgeHeartbeat(
                EdgeNodeInfo(
                    message.name,
                    message.incarnation,
                    message.failureDomain,
                    Address(message.callerHost, message.callerPort),
                    Address(message.peerHost, message.peerPort),
                    message.cpuCores,
                ),
                message.isServing,
                message.configurationRevision,
                tuple(message.changedVersions),
                message.attemptsPerS,
                message.storeAgeS,
                message.isRestoring,
                message.isHub,
                message.lacksServers,
                tuple(_decode_report(report) for report in message.suspects),
                tuple(_decode_rollout(counts) for counts in message.rollouts),
                tuple(
                    TenantDemand(
                        demand.key,
                        demand.ownPerS,
                        demand.ownCount,
                        demand.allPerS,
                        demand.allCount,
                    )
                    for demand in message.tenants
                ),
            )
        return check_heartbeat(heartbeat)
    except (
        capnp.KjException,
        ValueError,
        UnicodeDecodeError,
        zlib.error,
    ) as error:
        raise HeartbeatError(str(error)) from error
