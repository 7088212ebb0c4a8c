"""Promise 1: every answer comes from one snapshot of the index."""

from collections.abc import Callable, Iterator, Mapping

import pytest

from mulberrybay_core.documents import encode_snapshots
from mulberrybay_core.snapshot import IndexSnapshot
from mulberrybay_testing.class_spec import search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.history import (
    CallerLoad,
    QueryRecord,
    answer_problems,
)

CLASS_NAME = "field-search"
SERVICE_COUNT = 6
NEW_SHARD_COUNT = 4


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Deployment]:
    """Three nodes and two replicas of each of six services."""
    with Deployment(
        tmp_path_factory.mktemp("snapshot"),
        (search_class(shard_count=SERVICE_COUNT),),
    ) as running:
        yield running


def _put_snapshots(
    deployment: Deployment, services_by_version: Mapping[int, tuple[str, ...]]
) -> None:
    stored = deployment.get_object("snapshots", CLASS_NAME).json()
    snapshots = tuple(
        IndexSnapshot(CLASS_NAME, version, services)
        for version, services in services_by_version.items()
    )
    deployment.put_object(
        "snapshots", CLASS_NAME, encode_snapshots(snapshots), stored["version"]
    )


def _is_from(version: int) -> Callable[[QueryRecord], bool]:
    def matches(record: QueryRecord) -> bool:
        return bool(record.document["index_version"] == version)

    return matches


def _move_servers(
    deployment: Deployment, load: CallerLoad, versions: list[int]
) -> None:
    """Changes the index of one backend server after another."""
    for server in deployment.backends:
        deployment.control_backends(
            {"vm_ids": [server["vm_id"]]}, index_versions=versions
        )
        load.wait_answers(2)


def _start_at(deployment: Deployment, version: int) -> tuple[str, ...]:
    """Puts all servers on one version; returns its services."""
    services = deployment.classes[0].services
    deployment.control_backends(
        {"all": True}, index_versions=[version], reply_fault=None
    )
    _put_snapshots(deployment, {version: services})
    with CallerLoad(deployment, CLASS_NAME) as load:
        load.wait_answers(10, matches=_is_from(version))
    return services


@pytest.mark.parametrize(
    ("old", "keeps_old", "reply_fault"),
    [
        (10, True, None),
        (20, False, None),
        (30, True, "swap"),
        (40, False, "swap"),
        (50, False, "duplicate"),
    ],
)
def test_repartition_in_the_middle_of_queries(
    deployment: Deployment, old: int, keeps_old: bool, reply_fault: str | None
) -> None:
    """Shard numbers change their meaning while queries run.

    Servers that keep the old version for a while allow a smooth change; those
    that drop it at once leave no version that all of them hold.
    """
    new = old + 1
    old_services = _start_at(deployment, old)
    new_services = tuple(reversed(old_services[:NEW_SHARD_COUNT]))
    deployment.control_backends(
        {"all": True},
        reply_fault=reply_fault,
        reply_fault_probability=0.2,
        slow_factor=5.0,
    )
    with CallerLoad(deployment, CLASS_NAME) as load:
        load.wait_answers(10)
        _put_snapshots(deployment, {old: old_services, new: new_services})
        _move_servers(deployment, load, [old, new] if keeps_old else [new])
        load.wait_answers(10, matches=_is_from(new))
        _put_snapshots(deployment, {new: new_services})
        _move_servers(deployment, load, [new])
        load.wait_answers(10, matches=_is_from(new))
    counts = {old: SERVICE_COUNT, new: NEW_SHARD_COUNT}
    assert answer_problems(load.records, counts) == []
    versions = {record.document["index_version"] for record in load.answered()}
    assert versions == {old, new}


def test_index_goes_back_and_forth(deployment: Deployment) -> None:
    """Replicas of one shard hold different versions, and swap them."""
    services = _start_at(deployment, 60)
    _put_snapshots(deployment, {60: services, 61: services})
    evens = [server["vm_id"] for server in deployment.backends[::2]]
    odds = [server["vm_id"] for server in deployment.backends[1::2]]
    with CallerLoad(deployment, CLASS_NAME) as load:
        for turn in range(6):
            even, odd = ([60], [61]) if turn % 2 else ([61], [60])
            deployment.control_backends({"vm_ids": evens}, index_versions=even)
            deployment.control_backends({"vm_ids": odds}, index_versions=odd)
            load.wait_answers(12)
    counts = {60: SERVICE_COUNT, 61: SERVICE_COUNT}
    assert answer_problems(load.records, counts) == []
