"""Encodes and decodes messages with VM lists and index snapshots."""

from typing import Any

from mulberrybay_core.addresses import Address
from mulberrybay_core.fleet import BackendServer, EntryVm, VmState
from mulberrybay_core.fleet_messages import FleetRequest, FleetUpdate
from mulberrybay_core.snapshot import IndexSnapshot


def encode_fleet_request(frame: Any, message: FleetRequest, _: float) -> None:  # noqa: ANN401
    """Writes a fleet request into a frame."""
    target = frame.init("fleetRequest")
    target.senderId = message.sender_id
    target.knownAgeS = message.known_age_s
    target.knownSnapshotVersion = message.known_snapshot_version


def decode_fleet_request(source: Any, _: float) -> FleetRequest:  # noqa: ANN401
    """Returns the fleet request of a frame."""
    return FleetRequest(
        source.senderId, source.knownAgeS, source.knownSnapshotVersion
    )


def encode_fleet_update(frame: Any, message: FleetUpdate, _: float) -> None:  # noqa: ANN401
    """Writes a fleet update into a frame."""
    target = frame.init("fleetUpdate")
    target.senderId = message.sender_id
    target.ageS = message.age_s
    target.snapshotVersion = message.snapshot_version
    vms = target.init("entryVms", len(message.entry_vms))
    for item, vm in zip(vms, message.entry_vms, strict=True):
        _fill_entry_vm(item, vm)
    servers = target.init("servers", len(message.servers))
    for item, server in zip(servers, message.servers, strict=True):
        _fill_server(item, server)
    snapshots = target.init("snapshots", len(message.snapshots))
    for item, snapshot in zip(snapshots, message.snapshots, strict=True):
        item.className = snapshot.class_name
        item.indexVersion = snapshot.index_version
        item.services = list(snapshot.services)


def decode_fleet_update(source: Any, _: float) -> FleetUpdate:  # noqa: ANN401
    """Returns the fleet update of a frame."""
    return FleetUpdate(
        sender_id=source.senderId,
        age_s=source.ageS,
        entry_vms=tuple(_read_entry_vm(item) for item in source.entryVms),
        servers=tuple(_read_server(item) for item in source.servers),
        snapshot_version=source.snapshotVersion,
        snapshots=tuple(
            IndexSnapshot(
                item.className, item.indexVersion, tuple(item.services)
            )
            for item in source.snapshots
        ),
    )


def _fill_entry_vm(target: Any, vm: EntryVm) -> None:  # noqa: ANN401
    target.nodeId = vm.node_id
    target.failureDomain = vm.failure_domain
    target.peerAddress.host = vm.peer_address.host
    target.peerAddress.port = vm.peer_address.port
    target.isLeaving = vm.state == "leaving"


def _read_entry_vm(source: Any) -> EntryVm:  # noqa: ANN401
    return EntryVm(
        node_id=source.nodeId,
        failure_domain=source.failureDomain,
        peer_address=Address(source.peerAddress.host, source.peerAddress.port),
        state=_read_state(source.isLeaving),
    )


def _fill_server(target: Any, server: BackendServer) -> None:  # noqa: ANN401
    target.serverId = server.server_id
    target.failureDomain = server.failure_domain
    target.address.host = server.address.host
    target.address.port = server.address.port
    target.service = server.service
    target.slotCount = server.slot_count
    target.connectionCap = server.connection_cap
    target.isLeaving = server.state == "leaving"


def _read_server(source: Any) -> BackendServer:  # noqa: ANN401
    return BackendServer(
        server_id=source.serverId,
        failure_domain=source.failureDomain,
        address=Address(source.address.host, source.address.port),
        service=source.service,
        slot_count=source.slotCount,
        connection_cap=source.connectionCap,
        state=_read_state(source.isLeaving),
    )


def _read_state(is_leaving: bool) -> VmState:
    return "leaving" if is_leaving else "live"
