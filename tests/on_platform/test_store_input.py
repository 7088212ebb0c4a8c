"""Whatever the store's replies hold, they give values or one kind of failure."""

import json
import math
import time
from typing import Any, Final

import pytest
from deployment import configuration, route
from hypothesis import given, settings, strategies

from mulberrybay_core.errors import Failure
from mulberrybay_core.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    RolloutStep,
)
from mulberrybay_core.routing import RoutingConfiguration
from mulberrybay_core.store_messages import ObjectList, StoredObject
from mulberrybay_core.tenants.keys import Tenant, digest_key
from mulberrybay_deployment.documents import DeploymentDocuments
from mulberrybay_deployment.store_dialect import DeploymentDialect
from mulberrybay_runtime.http_exchange import HttpReply

DIALECT: Final = DeploymentDialect()
DOCUMENTS: Final = DeploymentDocuments()
# Of all values that other writers may leave, decoded ones and JSON texts.
MAX_DECODE_S: Final = 2.0
SERVER: Final[dict[str, Any]] = {
    "service": "records",
    "address": "127.0.0.1:9000",
    "zone": "zone-a",
    "revision": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
    "born": 1_700_000_000_000,
}
ODD_TEXTS: Final = {
    "nested": "[" * 100_000 + "]" * 100_000,
    "nested objects": '{"a":' * 100_000 + "1" + "}" * 100_000,
    "brackets in a text": '"' + "[{" * 100_000 + '"',
    "large integer": "9" * 10_000,
    "large exponent": "1e999999",
    "lone surrogate": r'"\ud800"',
    # A byte that isn't UTF-8, in the form of `os.fsencode`.
    "undecodable byte": '"f\udcfcr"',
    "doubled field": '{"a":1,"a":[]}',
}
leaves = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.sampled_from(["ready", "1.2.3.4:99999", "idempotent", "x:1"]),
)
values = strategies.recursive(
    leaves,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=6), inner)
    ),
    max_leaves=8,
)


def make_reply(body: bytes, status: int = 200) -> HttpReply:
    return HttpReply(status, {}, body, True)


def item(name: str, spec: str) -> str:
    return f'{{"meta":{{"name":"{name}","rev":7}},"spec":{spec}}}'


@pytest.mark.parametrize("name", ODD_TEXTS)
@pytest.mark.parametrize("form", ["items", "events"])
def test_odd_entry_does_not_hide_the_others(name: str, form: str) -> None:
    sound = json.dumps(SERVER)
    odd = sound[:-1] + f',"more":{ODD_TEXTS[name]}}}'
    texts = [item("a", sound), item("b", odd), item("c", sound)]
    if form == "events":
        texts = [f'{{"deleted":false,"object":{text}}}' for text in texts]
    text = f'{{"{form}":[{",".join(texts)}],"as_of":9}}'
    body = text.encode(errors="surrogateescape")

    began_at_s = time.monotonic()
    objects = DIALECT.decode_list(make_reply(body))

    assert time.monotonic() - began_at_s < MAX_DECODE_S
    assert isinstance(objects, ObjectList)
    entries = {s.name: DOCUMENTS.read_server(s) for s in objects.items}
    assert entries["a"] is not None
    assert entries["c"] is not None


@settings(deadline=None, max_examples=300)
@given(body=strategies.binary(max_size=40) | values.map(json.dumps))
def test_any_body_gives_a_value_or_a_failure(body: bytes | str) -> None:
    data = body.encode() if isinstance(body, str) else body
    for status in (200, 409):
        reply = make_reply(data, status)
        assert isinstance(DIALECT.decode_list(reply), ObjectList | Failure)
        assert isinstance(
            DIALECT.decode_object(reply), StoredObject | Failure | None
        )
        DIALECT.decode_write(reply)


@settings(deadline=None, max_examples=300)
@given(
    changes=strategies.dictionaries(
        strategies.sampled_from(
            ["revision", "routes", "services", "limits", "tenants"]
        ),
        values,
        min_size=1,
    )
)
def test_any_configuration_is_decoded_or_left_out(
    changes: dict[str, Any],
) -> None:
    stored = StoredObject("", "main", 1, {**configuration(1), **changes})
    decoded = DOCUMENTS.read_configuration(stored)
    assert decoded is None or isinstance(decoded, RoutingConfiguration)


TENANT: Final[dict[str, Any]] = {"name": "red", "api_keys": ["a", "b"]}


def read_fields(**fields: object) -> RoutingConfiguration | None:
    return DOCUMENTS.read_configuration(
        StoredObject("", "main", 1, configuration(1, **fields))
    )


@pytest.mark.parametrize(
    ("fields", "tenant"),
    [
        ({}, Tenant("red", (digest_key(b"a"), digest_key(b"b")))),
        (
            {
                "api_keys": ["\xe4"],
                "priority": 0,
                "rate_per_s": 2.5,
                "burst": 7,
            },
            Tenant("red", (digest_key("\xe4".encode()),), 0, 2.5, 7),
        ),
        (
            {"api_keys": None, "priority": None, "rate_per_s": None},
            Tenant("red", ()),
        ),
    ],
)
def test_tenant_has_digests_in_place_of_its_keys(
    fields: dict[str, Any], tenant: Tenant
) -> None:
    decoded = read_fields(tenants=[{**TENANT, **fields}])
    assert decoded is not None
    assert decoded.tenants == (tenant,)


@pytest.mark.parametrize(("value", "tenants"), [(None, None), ([], ())])
def test_configuration_without_any_tenant_left_still_asks_for_keys(
    value: object, tenants: object
) -> None:
    decoded = read_fields(tenants=value)
    assert decoded is not None
    assert decoded.tenants == tenants


@pytest.mark.parametrize(
    "fields",
    [
        {"name": ""},
        {"name": "a\r\nX-Other: b"},
        {"name": "\ud800"},
        {"api_keys": "ab"},
        {"api_keys": {"a": 1}},
        {"api_keys": [""]},
        {"api_keys": [7]},
        {"priority": -1},
        {"priority": "high"},
        {"rate_per_s": -1},
        {"rate_per_s": "1"},
        {"rate_per_s": True},
        {"burst": -1},
    ],
)
def test_malformed_tenant_leaves_the_configuration_out(
    fields: dict[str, Any],
) -> None:
    assert read_fields(tenants=[TENANT, {**TENANT, **fields}]) is None


@pytest.mark.parametrize("tenants", [{}, {"red": TENANT}, "red", 7, [7], [[]]])
def test_malformed_list_of_tenants_leaves_the_configuration_out(
    tenants: object,
) -> None:
    assert read_fields(tenants=tenants) is None


@pytest.mark.parametrize("value", ["false", 1, [True], {}])
def test_route_is_public_only_if_that_is_said_plainly(value: object) -> None:
    decoded = read_fields(
        tenants=[TENANT],
        routes=[route("r", "/r/", service="records", public=value)],
    )
    assert decoded is None or not decoded.routes[0].is_public


ORDER: Final[dict[str, Any]] = {
    "service": "records",
    "target_version": "v2",
    "duration_s": 30,
}
STATUS: Final = RolloutStatus(
    RolloutState.ROLLED_BACK, RolloutStep.DONE, "v2", 2.5, "latency"
)


@settings(deadline=None, max_examples=300)
@given(
    changes=strategies.dictionaries(
        strategies.sampled_from([*ORDER, "more"]), values
    ),
    status=strategies.none()
    | strategies.dictionaries(
        strategies.sampled_from([*DOCUMENTS.encode_rollout_status(STATUS)]),
        values | strategies.sampled_from(["v2", "running", "promote"]),
    ),
)
def test_any_rollout_is_decoded_or_left_out(
    changes: dict[str, Any], status: dict[str, Any] | None
) -> None:
    stored = StoredObject("", "records", 7, {**ORDER, **changes}, status)
    document = DOCUMENTS.read_rollout(stored)
    if document is not None:
        assert document.order.service == "records"
        assert 0 < document.order.duration_s < math.inf
        document.order.target_version.encode()
    if document is not None and document.status is not None:
        assert 0 <= document.status.age_s < math.inf
        json.dumps(DOCUMENTS.encode_rollout_status(document.status))


@pytest.mark.parametrize(
    ("value", "status"),
    [
        (DOCUMENTS.encode_rollout_status(STATUS), STATUS),
        (
            {"state": "running", "target_version": "v2", "step": "unknown"},
            RolloutStatus(RolloutState.RUNNING, RolloutStep.CANARY, "v2"),
        ),
        (
            {"state": "completed", "target_version": "v2"},
            RolloutStatus(RolloutState.COMPLETED, RolloutStep.DONE, "v2"),
        ),
        ({"state": "halted", "target_version": "v2"}, None),
        ({"state": "running"}, None),
    ],
)
def test_status_is_read_as_it_was_written(
    value: dict[str, Any], status: RolloutStatus | None
) -> None:
    """Guards against a status of another build that ends a rollout."""
    text = json.dumps({"meta": {"name": "records", "rev": 7}, "spec": ORDER})
    body = json.loads(text) | {"status": value}
    stored = DIALECT.decode_object(make_reply(json.dumps(body).encode()))
    assert isinstance(stored, StoredObject)
    document = DOCUMENTS.read_rollout(stored)
    assert document is not None
    assert document.status == status
    assert document.order == RolloutOrder("records", "v2", 30.0, 7)


def test_status_is_written_under_the_revision() -> None:
    call = DIALECT.write_status("rollouts", "a/b", {"state": "running"}, 7)
    assert (call.method, call.path) == (
        "PUT",
        "/api/objects/rollouts/a%2Fb/status",
    )
    assert json.loads(call.body) == {
        "meta": {"name": "a/b", "rev": 7},
        "status": {"state": "running"},
    }


@pytest.mark.parametrize(
    "odd",
    ['{"meta":{"name":"b","rev":-1}}', '{"meta":{"name":"b"}}', "17"],
)
def test_page_of_odd_entries_does_not_end_the_list(odd: str) -> None:
    sound = item("a", json.dumps(SERVER))
    for texts in ([odd], [sound, odd], [odd, sound]):
        body = f'{{"items":[{",".join(texts)}],"has_more":true,"as_of":9}}'
        objects = DIALECT.decode_list(make_reply(body.encode()))
        names = [json.loads(text) for text in texts]
        last = [n["meta"]["name"] for n in names if isinstance(n, dict)]
        assert isinstance(objects, ObjectList)
        assert objects.next_name == (last[-1] if last else "")


def test_name_that_can_not_be_sent_names_no_object() -> None:
    texts = [item(r"b\ud800", json.dumps(SERVER)), item("c", "{}")]
    body = f'{{"items":[{",".join(texts)}],"as_of":9}}'
    objects = DIALECT.decode_list(make_reply(body.encode()))
    assert isinstance(objects, ObjectList)
    assert [stored.name for stored in objects.items] == ["c"]
