"""Decodes the platform's list of VMs."""

import json

from mulberrybay_core.addresses import Address
from mulberrybay_core.decode_errors import DECODE_ERRORS
from mulberrybay_core.errors import Failure, FailureKind, Step
from mulberrybay_core.fleet import BackendServer, EntryVm, Fleet, VmState
from mulberrybay_core.store_messages import JsonObject
from mulberrybay_runtime.http_exchange import HttpReply


def decode_vm_list(reply: HttpReply) -> Fleet | Failure:
    """Decodes the reply to GET /v1/vms."""
    if reply.status != 200:
        return _failure(f"the platform answered {reply.status}")
    try:
        vms = json.loads(reply.body)["vms"]
        entry_vms = [_parse_entry_vm(vm) for vm in vms if vm["role"] == "entry"]
        servers = [
            _parse_backend_server(vm) for vm in vms if vm["role"] == "backend"
        ]
    except DECODE_ERRORS as error:
        return _failure(f"malformed VM list: {error!r}")
    return Fleet(entry_vms, servers)


def _failure(detail: str) -> Failure:
    return Failure(
        FailureKind.PLATFORM, Step.MEMBERSHIP, "platform", f"list_vms: {detail}"
    )


def _parse_state(vm: JsonObject) -> VmState:
    return "leaving" if vm["state"] == "leaving" else "live"


def _parse_entry_vm(vm: JsonObject) -> EntryVm:
    return EntryVm(
        node_id=str(vm["vm_id"]),
        failure_domain=str(vm["failure_domain"]),
        peer_address=Address(str(vm["host"]), int(vm["port"])),
        state=_parse_state(vm),
    )


def _parse_backend_server(vm: JsonObject) -> BackendServer:
    return BackendServer(
        server_id=str(vm["vm_id"]),
        failure_domain=str(vm["failure_domain"]),
        address=Address(str(vm["host"]), int(vm["port"])),
        service=str(vm["service"]),
        slot_count=int(vm["slot_count"]),
        connection_cap=int(vm["connection_cap"]),
        state=_parse_state(vm),
    )
