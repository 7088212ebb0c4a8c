"""Faults and control documents of the platform stand-in."""

from __future__ import annotations

import time
from typing import Literal, TypedDict

Outage = Literal["refuse", "silent", "unavailable"]

# The time in which an empty token bucket fills up.
_BURST_DURATION_S = 0.25


class Vm(TypedDict):
    """One entry of the VM list."""

    vm_id: str
    role: Literal["entry", "backend"]
    failure_domain: str
    host: str
    port: int
    service: str
    state: Literal["live", "leaving"]
    slot_count: int
    connection_cap: int


class CallLoss(TypedDict):
    """The kind of objects and how many of the next calls to lose."""

    kind: str
    count: int


class PlatformControl(TypedDict, total=False):
    """A control document; absent keys leave the settings unchanged."""

    outage: Outage | None
    failing_kinds: list[str]
    delay_s: float
    lose_answers: CallLoss
    lose_requests: CallLoss
    vms: list[Vm]
    vm_state: dict[str, Literal["live", "leaving"]]
    remove_vms: list[str]
    vm_list_lag_s: float


class PlatformFaults:
    """The active faults of the platform stand-in.

    Attributes:
        silence_count: How often the stand-in has fallen silent. Calls that wait
            as it does are never answered.
    """

    def __init__(self) -> None:
        self.outage: Outage | None = None
        self.silence_count = 0
        self.failing_kinds: frozenset[str] = frozenset()
        self.delay_s = 0.0
        self._answer_losses_left: dict[str, int] = {}
        self._request_losses_left: dict[str, int] = {}

    def apply(self, control: PlatformControl) -> None:
        """Applies the fault settings of a control document."""
        if "outage" in control:
            self.outage = control["outage"]
            self.silence_count += self.outage == "silent"
        if "failing_kinds" in control:
            self.failing_kinds = frozenset(control["failing_kinds"])
        if "delay_s" in control:
            self.delay_s = control["delay_s"]
        if "lose_answers" in control:
            loss = control["lose_answers"]
            self._answer_losses_left[loss["kind"]] = loss["count"]
        if "lose_requests" in control:
            loss = control["lose_requests"]
            self._request_losses_left[loss["kind"]] = loss["count"]

    def consume_answer_loss(self, kind: str) -> bool:
        """Returns whether to lose the answer to this write; counts it if so."""
        return _consume_loss(self._answer_losses_left, kind)

    def consume_request_loss(self, kind: str) -> bool:
        """Returns whether to lose this write unapplied; counts it if so."""
        return _consume_loss(self._request_losses_left, kind)


def _consume_loss(counts: dict[str, int], kind: str) -> bool:
    if counts.get(kind, 0) <= 0:
        return False
    counts[kind] -= 1
    return True


def apply_vm_changes(
    vms: tuple[Vm, ...], control: PlatformControl
) -> tuple[Vm, ...]:
    """Returns the VM list with the changes of a control document."""
    if "vms" in control:
        vms = tuple(control["vms"])
    states = control.get("vm_state", {})
    removed = set(control.get("remove_vms", []))
    remaining = [vm for vm in vms if vm["vm_id"] not in removed]
    return tuple(_with_state(vm, states) for vm in remaining)


def _with_state(vm: Vm, states: dict[str, Literal["live", "leaving"]]) -> Vm:
    changed = vm.copy()
    changed["state"] = states.get(vm["vm_id"], vm["state"])
    return changed


class RateLimit:
    """A rate limit by a token bucket; a rate of 0 means no limit."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._max_token_count = max(1.0, rate_per_s * _BURST_DURATION_S)
        self._token_count = self._max_token_count
        self._refilled_at_s = time.monotonic()

    def try_acquire(self) -> bool:
        """Consumes a token; returns False if none is available."""
        if self._rate_per_s <= 0:
            return True
        now_s = time.monotonic()
        added_token_count = (now_s - self._refilled_at_s) * self._rate_per_s
        self._token_count = min(
            self._max_token_count, self._token_count + added_token_count
        )
        self._refilled_at_s = now_s
        if self._token_count < 1:
            return False
        self._token_count -= 1
        return True
