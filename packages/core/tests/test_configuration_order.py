"""Which configuration is in force, by its revision and the time."""

import pytest

from mulberrybay_core.configuration_order import (
    HOLD_BACK_S,
    ConfigurationOrder,
)
from mulberrybay_core.routing import CallerLimits, RoutingConfiguration

NOW_S = 100.0


def make(revision: int, max_header_bytes: int = 1) -> RoutingConfiguration:
    return RoutingConfiguration(
        revision, (), (), CallerLimits(max_header_bytes)
    )


def order_with(*revisions: int) -> ConfigurationOrder:
    order = ConfigurationOrder()
    for position, revision in enumerate(revisions, 1):
        order.put(make(revision), position, NOW_S)
    return order


def check(
    order: ConfigurationOrder,
    span_s: float,
    position: int = 2,
    *,
    is_doubtful: bool = False,
) -> bool:
    return order.check(position, NOW_S + span_s, is_doubtful=is_doubtful)


def test_lower_revision_is_in_force_once_the_store_has_stood_by_it() -> None:
    order = order_with(9, 3)
    assert order.current == make(9)
    assert not check(order, HOLD_BACK_S - 0.1)
    assert check(order, HOLD_BACK_S)
    assert order.current == make(3)
    assert not check(order, 2 * HOLD_BACK_S)


def test_time_in_which_the_store_can_not_be_relied_on_does_not_count() -> None:
    order = order_with(9, 3)
    assert not check(order, HOLD_BACK_S, is_doubtful=True)
    assert not check(order, HOLD_BACK_S + 0.1)
    assert check(order, 2 * HOLD_BACK_S)


def test_lower_revision_that_the_store_no_longer_has_is_dropped() -> None:
    order = order_with(9, 3)
    order.put(make(9), 3, NOW_S)
    assert not check(order, 2 * HOLD_BACK_S, position=3)
    assert order.current == make(9)


@pytest.mark.parametrize("revision", [10, 100])
def test_higher_revision_is_in_force_at_once(revision: int) -> None:
    order = order_with(9, 3)
    assert order.put(make(revision), 3, NOW_S)
    assert not check(order, 2 * HOLD_BACK_S, position=3)
    assert order.current == make(revision)


def test_other_content_of_the_same_revision_is_not_kept_out_for_good() -> None:
    order = order_with(9)
    order.put(make(9, max_header_bytes=2), 2, NOW_S)
    assert check(order, HOLD_BACK_S)
    assert order.current == make(9, max_header_bytes=2)
