"""Tests of the platform stand-in as a real process."""

from __future__ import annotations

import http.client
import json
from pathlib import Path

import pytest

from mulberrybay_testing.control_client import (
    get_control,
    post_control,
)
from mulberrybay_testing.event_log import read_events
from mulberrybay_testing.standin_calls import (
    CALL_TIMEOUT_S,
    Reply,
    call,
    start_thread,
)
from mulberrybay_testing.waiting import wait_until

_PATH = "/v1/objects/classes/lookup"


def test_conditional_updates(platform: int) -> None:
    created = call(platform, "PUT", _PATH, "1", {"If-None-Match": "*"})
    assert (created.status, created.document) == (201, {"version": 1})
    second_create = call(platform, "PUT", _PATH, "2", {"If-None-Match": "*"})
    assert (second_create.status, second_create.document) == (
        412,
        {"version": 1},
    )
    updated = call(platform, "PUT", _PATH, "3", {"If-Match": '"1"'})
    assert (updated.status, updated.document) == (200, {"version": 2})
    stale = call(platform, "DELETE", _PATH, "", {"If-Match": '"1"'})
    assert (stale.status, stale.document) == (412, {"version": 2})
    assert call(platform, "PUT", _PATH, "4").status == 428
    read = call(platform, "GET", _PATH)
    assert read.headers["etag"] == '"2"'
    assert read.document["value"] == 3
    large = json.dumps("x" * 1024 * 1024)
    too_large = call(platform, "PUT", _PATH, large, {"If-Match": '"2"'})
    assert too_large.status == 413
    deleted = call(platform, "DELETE", _PATH, "", {"If-Match": '"2"'})
    assert deleted.status == 204
    absent = call(platform, "PUT", _PATH, "5", {"If-Match": '"2"'})
    assert (absent.status, absent.document) == (412, {"version": 0})


def test_watch_answers_on_change_and_on_timeout(platform: int) -> None:
    path = "/v1/watch/classes?after=0&timeout_s="
    empty = call(platform, "GET", path + "0.05")
    assert empty.document == {"items": [], "version": 0}
    replies: list[Reply] = []
    watch_thread = start_thread(
        lambda: replies.append(call(platform, "GET", path + "4"))
    )
    wait_until(
        lambda: get_control(platform)["calls"].get("watch") == 2,
        CALL_TIMEOUT_S,
        "the watch to arrive",
    )
    call(platform, "PUT", "/v1/objects/other/x", "0", {"If-None-Match": "*"})
    call(platform, "PUT", _PATH, "1", {"If-None-Match": "*"})
    watch_thread.join(2)
    assert [item["version"] for item in replies[0].document["items"]] == [2]


def test_lost_answer_takes_effect_and_lost_request_does_not(
    platform: int, tmp_path: Path
) -> None:
    loss = {"kind": "classes", "count": 1}
    post_control(platform, {"lose_requests": loss, "lose_answers": loss})
    for _ in range(2):
        with pytest.raises(http.client.RemoteDisconnected):
            call(platform, "PUT", _PATH, "1", {"If-None-Match": "*"})
    retried = call(platform, "PUT", _PATH, "1", {"If-None-Match": "*"})
    assert retried.status == 412
    calls = [
        (item["status"], item["answer_lost"], item["version"])
        for item in read_events(tmp_path / "platform.jsonl")
        if item["event"] == "call"
    ]
    assert calls == [(0, False, 0), (201, True, 1), (412, False, 0)]


def test_outages_and_delayed_vm_list(platform: int) -> None:
    watch_errors: list[object] = []

    def wait_for_change() -> None:
        try:
            call(platform, "GET", "/v1/watch/classes?after=0&timeout_s=9")
        except ConnectionError as error:
            watch_errors.append(error)

    watch_thread = start_thread(wait_for_change)
    wait_until(
        lambda: get_control(platform)["calls"].get("watch") == 1,
        CALL_TIMEOUT_S,
        "the watch to arrive",
    )
    post_control(platform, {"outage": "refuse"})
    watch_thread.join(2)
    assert len(watch_errors) == 1
    with pytest.raises((http.client.RemoteDisconnected, ConnectionError)):
        call(platform, "GET", "/v1/vms")
    post_control(platform, {"outage": "unavailable"})
    refused = call(platform, "GET", "/v1/vms")
    assert refused.status == 503
    assert "retry-after" in refused.headers
    post_control(platform, {"outage": "silent"})
    with pytest.raises(TimeoutError):
        call(platform, "GET", "/v1/vms", timeout_s=0.2)
    vms = [{"vm_id": "e1", "state": "live"}]
    post_control(platform, {"outage": None, "vm_list_lag_s": 0.5, "vms": vms})
    assert call(platform, "GET", "/v1/vms").document == {"vms": []}
    wait_until(
        lambda: call(platform, "GET", "/v1/vms").document == {"vms": vms},
        CALL_TIMEOUT_S,
        "the new VM list",
    )
