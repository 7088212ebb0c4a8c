"""Fixtures shared by several integration tests."""

from collections.abc import Iterator

import pytest

from mulberrybay_testing.bookings import Bookings
from mulberrybay_testing.proxied_deployment import ProxiedDeployment


@pytest.fixture
def bookings(deployment: ProxiedDeployment) -> Iterator[Bookings]:
    """Yields bookings, which are sent to the module's deployment.

    After the test, ends the faults and checks the history of the bookings.
    """
    with Bookings(deployment) as bookings:
        yield bookings
        deployment.heal()
    assert bookings.problems() == []
