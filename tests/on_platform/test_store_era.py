"""Eras of the store: how replies name them, and what they forbid."""

import pytest

from mulberrybay_core.addresses import Address
from mulberrybay_core.store_messages import ObjectList, StoredObject
from mulberrybay_core.store_position import (
    MAX_ERA,
    era_of,
    make_position,
    place_list,
    version_of,
)
from mulberrybay_deployment.store_dialect import DeploymentDialect
from mulberrybay_platform.client import PlatformClient, PlatformSettings
from mulberrybay_runtime.http_exchange import HttpReply
from mulberrybay_runtime.timers import Timers


def reply(**headers: str) -> HttpReply:
    names = {name.replace("_", "-"): text for name, text in headers.items()}
    return HttpReply(200, names, b'{"items": [], "as_of": 7}', True)


@pytest.mark.parametrize(
    ("text", "era"), [("0", 0), ("7", 7), (" 12 ", 12), (str(MAX_ERA), MAX_ERA)]
)
def test_era_is_read_from_the_header(text: str, era: int) -> None:
    assert DeploymentDialect().read_era(reply(store_era=text)) == era


@pytest.mark.parametrize(
    "text",
    [
        "",
        "-1",
        "1.0",
        "1e3",
        "one",
        "0x1",
        "\u0661",
        str(MAX_ERA + 1),
        "9" * 9999,
    ],
)
def test_unreadable_era_is_none(text: str) -> None:
    assert DeploymentDialect().read_era(reply(store_era=text)) is None
    assert DeploymentDialect().read_era(reply()) is None


def test_positions_order_by_era_before_version() -> None:
    old, new = make_position(1, 2**39), make_position(2, 1)
    assert old < new < make_position(MAX_ERA, 1) < 2**63
    assert (era_of(old), version_of(old)) == (1, 2**39)
    assert make_position(0, 5) == 5
    assert make_position(3, 0) == 0


def test_list_is_placed_in_its_era() -> None:
    objects = ObjectList((StoredObject("k", "a", 3, {}),), 9)
    placed = place_list(objects, 2)
    assert placed.items[0].version == make_position(2, 3)
    assert placed.store_version == make_position(2, 9)
    assert placed.changed_version == 0


class _Streams:
    """Records the addresses that are dialled."""

    def __init__(self) -> None:
        self.dialled: list[Address] = []

    def dial(self, address: Address, observer: object, **_: object) -> None:
        self.dialled.append(address)


@pytest.mark.parametrize("operation", ["write", "delete"])
def test_condition_on_a_version_of_an_older_era_is_never_sent(
    operation: str,
) -> None:
    """The store may have given that version to another state since."""
    streams, results = _Streams(), []
    settings = PlatformSettings(Address("127.0.0.1", 1))
    client = PlatformClient(settings, streams, Timers(), DeploymentDialect())
    client.era = 2
    old = make_position(1, 80)

    if operation == "write":
        client.write("k", "a", {}, old, results.append)
    else:
        client.delete("k", "a", old, results.append)

    assert streams.dialled == []
    assert len(results) == 1
