"""Which of the configurations that a node reads is in force.

Revisions increase, so that a configuration with a lower one than that in force is
mostly from an older copy of the store or from a peer that is behind, and is held
back. It must not be held back for good: once the store has stood by it for a while,
it is what the operators have confirmed last.
"""

from typing import Final, NamedTuple

from mulberrybay_core.restore_rules import RESTORE_PERIOD_S
from mulberrybay_core.routing import RoutingConfiguration

# As long as the store's word is doubted after it returned from an older copy.
HOLD_BACK_S: Final = RESTORE_PERIOD_S


class _HeldBack(NamedTuple):
    """A configuration that isn't in force, and its position in the store."""

    configuration: RoutingConfiguration
    position: int
    since_s: float


class ConfigurationOrder:
    """Orders configurations by revision, and for a while only.

    Attributes:
        current: The configuration in force; None before the first.
    """

    def __init__(self) -> None:
        self.current: RoutingConfiguration | None = None
        self._held_back: _HeldBack | None = None

    def put(
        self, configuration: RoutingConfiguration, position: int, now_s: float
    ) -> bool:
        """Handles a configuration that was read.

        Returns:
            Whether it is in force from now on.
        """
        if self.current is None or (
            configuration.revision > self.current.revision
        ):
            self.current = configuration
            self._held_back = None
            return True
        if configuration == self.current:
            self._held_back = None
        elif self._held_back is None or self._held_back.position != position:
            self._held_back = _HeldBack(configuration, position, now_s)
        return False

    @property
    def held_back_revision(self) -> int | None:
        """The revision that is held back; None if there is none."""
        held_back = self._held_back
        return None if held_back is None else held_back.configuration.revision

    def check(
        self, position: int | None, now_s: float, *, is_doubtful: bool
    ) -> bool:
        """Puts a configuration in force that was held back long enough.

        Called periodically.

        Args:
            position: The position of the configuration that the store has.
            now_s: The current time.
            is_doubtful: Whether the store can't be relied on now: it doesn't
                answer, or has just returned from an older copy.

        Returns:
            Whether another configuration is in force.
        """
        held_back = self._held_back
        if held_back is None:
            return False
        if is_doubtful or position != held_back.position:
            self._held_back = held_back._replace(since_s=now_s)
            return False
        if now_s - held_back.since_s < HOLD_BACK_S:
            return False
        self.current = held_back.configuration
        self._held_back = None
        return True
