"""Reloads the settings when their file changes, or on request."""

import os
from collections.abc import Callable
from typing import Final

from mulberrybay_edge.settings import EdgeSettings
from mulberrybay_runtime.logs import StructuredLog
from mulberrybay_runtime.timers import Timers

CHECK_PERIOD_S: Final = 2.0


class SettingsWatch:
    """Checks the settings file for changes and reloads it."""

    def __init__(
        self,
        path: str,
        load: Callable[[], EdgeSettings],
        apply: Callable[[EdgeSettings], None],
        timers: Timers,
    ) -> None:
        self._path = path
        self._load = load
        self._apply = apply
        self._timers = timers
        self._log = StructuredLog("node")
        self._modified_at_ns = self._read_modified_at_ns()
        timers.call_every(CHECK_PERIOD_S, self._check)

    def schedule_reload(self) -> None:
        """Schedules a reload of the settings in the event loop.

        It is safe to call this in a signal handler.
        """
        self._timers.call_later(0.0, lambda: self._reload("SIGHUP"))

    def _read_modified_at_ns(self) -> int | None:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            # The file is being replaced or was removed. The settings that were
            # read stay in force, and the file is read when it is back.
            return None

    def _check(self) -> None:
        modified_at_ns = self._read_modified_at_ns()
        if (
            modified_at_ns is not None
            and modified_at_ns != self._modified_at_ns
        ):
            self._modified_at_ns = modified_at_ns
            self._reload("the settings file has changed")

    def _reload(self, reason: str) -> None:
        try:
            settings = self._load()
        except (OSError, ValueError) as error:
            self._log.warning(
                "settings not reloaded", reason=reason, cause=str(error)
            )
            return
        self._apply(settings)
        self._log.info("settings reloaded", reason=reason)
