"""Faults and control documents of the platform stand-in."""

from __future__ import annotations

import time
from typing import Literal, TypedDict

Outage = Literal["refuse", "silent", "unavailable"]

_BURST_S = 0.25


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


class LossOrder(TypedDict):
    """The next calls of a kind that are to be lost."""

    kind: str
    count: int


class PlatformControl(TypedDict, total=False):
    """A control document; only the keys that it holds are applied."""

    outage: Outage | None
    failing_kinds: list[str]
    delay_s: float
    lose_answers: LossOrder
    lose_requests: LossOrder
    vms: list[Vm]
    vm_state: dict[str, Literal["live", "leaving"]]
    remove_vms: list[str]
    vm_list_lag_s: float


class PlatformFaults:
    """The faults that are in force at the platform stand-in."""

    def __init__(self) -> None:
        self.outage: Outage | None = None
        self.failing_kinds: frozenset[str] = frozenset()
        self.delay_s = 0.0
        self._lost_answers: dict[str, int] = {}
        self._lost_requests: dict[str, int] = {}

    def apply(self, control: PlatformControl) -> None:
        """Applies the keys of the document that set faults."""
        if "outage" in control:
            self.outage = control["outage"]
        if "failing_kinds" in control:
            self.failing_kinds = frozenset(control["failing_kinds"])
        if "delay_s" in control:
            self.delay_s = control["delay_s"]
        if "lose_answers" in control:
            order = control["lose_answers"]
            self._lost_answers[order["kind"]] = order["count"]
        if "lose_requests" in control:
            order = control["lose_requests"]
            self._lost_requests[order["kind"]] = order["count"]

    def take_lost_answer(self, kind: str) -> bool:
        """Returns whether to lose the answer of this write."""
        return _take(self._lost_answers, kind)

    def take_lost_request(self, kind: str) -> bool:
        """Returns whether to lose this write before its effect."""
        return _take(self._lost_requests, kind)


def _take(counts: dict[str, int], kind: str) -> bool:
    if counts.get(kind, 0) <= 0:
        return False
    counts[kind] -= 1
    return True


def changed_vms(
    vms: tuple[Vm, ...], control: PlatformControl
) -> tuple[Vm, ...]:
    """Returns the VM list after the changes that the document asks for."""
    if "vms" in control:
        vms = tuple(control["vms"])
    states = control.get("vm_state", {})
    removed = set(control.get("remove_vms", []))
    kept = [vm for vm in vms if vm["vm_id"] not in removed]
    return tuple(_with_state(vm, states) for vm in kept)


def _with_state(vm: Vm, states: dict[str, Literal["live", "leaving"]]) -> Vm:
    changed = vm.copy()
    changed["state"] = states.get(vm["vm_id"], vm["state"])
    return changed


class RateLimit:
    """A token bucket; a rate of 0 means no limit."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = max(1.0, rate_per_s * _BURST_S)
        self._token_count = self._capacity
        self._filled_at_s = time.monotonic()

    def allow(self) -> bool:
        """Takes a token; returns False when there is none."""
        if self._rate_per_s <= 0:
            return True
        now_s = time.monotonic()
        gained = (now_s - self._filled_at_s) * self._rate_per_s
        self._token_count = min(self._capacity, self._token_count + gained)
        self._filled_at_s = now_s
        if self._token_count < 1:
            return False
        self._token_count -= 1
        return True
