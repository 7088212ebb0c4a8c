"""Promise 1: every answer comes from one snapshot of the index."""

from collections.abc import Callable, Iterator, Mapping

import pytest

from mulberrybay_core.documents import encode_snapshots
from mulberrybay_core.snapshot import IndexSnapshot
from mulberrybay_testing.class_spec import search_class
from mulberrybay_testing.deployment import Deployment
from mulberrybay_testing.history import (
    QueryLoad,
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
    """Starts three nodes and two replicas of each of six services."""
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


def _matches_version(version: int) -> Callable[[QueryRecord], bool]:
    def matches(record: QueryRecord) -> bool:
        return bool(record.document["index_version"] == version)

    return matches


def _set_versions_in_turn(
    deployment: Deployment, load: QueryLoad, versions: list[int]
) -> None:
    """Sets the index versions of one backend server after the other."""
    for server in deployment.backends:
        deployment.control_backends(
            {"vm_ids": [server["vm_id"]]}, index_versions=versions
        )
        load.wait_answers(2)


def _set_version_everywhere(
    deployment: Deployment, version: int
) -> tuple[str, ...]:
    """Sets all servers to one index version; returns its services."""
    services = deployment.classes[0].services
    deployment.control_backends(
        {"all": True}, index_versions=[version], reply_fault=None
    )
    _put_snapshots(deployment, {version: services})
    with QueryLoad(deployment, CLASS_NAME) as load:
        load.wait_answers(10, matches=_matches_version(version))
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
def test_repartition_during_queries(
    deployment: Deployment, old: int, keeps_old: bool, reply_fault: str | None
) -> None:
    """An answer must not mix shards of two partitions of the index.

    Shard numbers refer to other data after the change. When servers drop the
    old version at once, there is a time without a version that all servers
    hold.
    """
    new = old + 1
    old_services = _set_version_everywhere(deployment, old)
    new_services = tuple(reversed(old_services[:NEW_SHARD_COUNT]))
    deployment.control_backends(
        {"all": True},
        reply_fault=reply_fault,
        reply_fault_probability=0.2,
        slow_factor=5.0,
    )
    with QueryLoad(deployment, CLASS_NAME) as load:
        load.wait_answers(10)
        _put_snapshots(deployment, {old: old_services, new: new_services})
        _set_versions_in_turn(
            deployment, load, [old, new] if keeps_old else [new]
        )
        load.wait_answers(10, matches=_matches_version(new))
        _put_snapshots(deployment, {new: new_services})
        _set_versions_in_turn(deployment, load, [new])
        load.wait_answers(10, matches=_matches_version(new))
    counts = {old: SERVICE_COUNT, new: NEW_SHARD_COUNT}
    assert answer_problems(load.records, counts) == []
    versions = {record.document["index_version"] for record in load.answered()}
    assert versions == {old, new}


def test_replicas_swap_index_versions(deployment: Deployment) -> None:
    """An answer must not mix versions when replicas of a shard differ.

    The two replicas of each shard hold different versions and swap them.
    """
    services = _set_version_everywhere(deployment, 60)
    _put_snapshots(deployment, {60: services, 61: services})
    even_ids = [server["vm_id"] for server in deployment.backends[::2]]
    odd_ids = [server["vm_id"] for server in deployment.backends[1::2]]
    with QueryLoad(deployment, CLASS_NAME) as load:
        for round_number in range(6):
            even_versions, odd_versions = (
                ([60], [61]) if round_number % 2 else ([61], [60])
            )
            deployment.control_backends(
                {"vm_ids": even_ids}, index_versions=even_versions
            )
            deployment.control_backends(
                {"vm_ids": odd_ids}, index_versions=odd_versions
            )
            load.wait_answers(12)
    counts = {60: SERVICE_COUNT, 61: SERVICE_COUNT}
    assert answer_problems(load.records, counts) == []
