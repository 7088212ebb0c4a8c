"""What several integration tests use."""

from collections.abc import Iterator

import pytest

from mulberrybay_testing.bookings import Bookings
from mulberrybay_testing.proxied_deployment import ProxiedDeployment


@pytest.fixture
def bookings(deployment: ProxiedDeployment) -> Iterator[Bookings]:
    """Sends to the module's deployment; checks the history at the end."""
    with Bookings(deployment) as bookings:
        yield bookings
        deployment.heal()
    assert bookings.problems() == []
