"""Adapts the platform client's replies to `expression.Result`."""

from collections.abc import Callable
from typing import TypeVar

from expression import Error, Ok, Result

from mulberrybay_core.errors import Failure
from mulberrybay_core.platform_messages import (
    FleetReply,
    JsonObject,
    ListReply,
    ObjectReply,
    WriteReply,
)
from mulberrybay_platform.client import PlatformClient

T = TypeVar("T")


def _make_result_handler(
    reply: Callable[[Result[T, Failure]], None],
) -> Callable[[T | Failure], None]:
    """Returns a handler that wraps a value or a failure in a `Result`."""

    def handle_value(value: T | Failure) -> None:
        if isinstance(value, Failure):
            reply(Error(value))
        else:
            reply(Ok(value))

    return handle_value


class PlatformStoreAdapter:
    """Implements `PlatformStore` with a platform client."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    @property
    def is_failing(self) -> bool:
        """Whether the last few calls all failed."""
        return self._client.is_failing

    def read(self, kind: str, name: str, reply: ObjectReply) -> None:
        """Reads an object; the result is None if it doesn't exist."""
        self._client.read(kind, name, _make_result_handler(reply))

    def list_kind(self, kind: str, reply: ListReply) -> None:
        """Reads all objects of a kind."""
        self._client.list_kind(kind, _make_result_handler(reply))

    def write(
        self,
        kind: str,
        name: str,
        value: JsonObject,
        expected_version: int,
        reply: WriteReply,
    ) -> None:
        """Writes an object if its version is as expected (0: no object)."""
        self._client.write(
            kind, name, value, expected_version, _make_result_handler(reply)
        )

    def delete(
        self, kind: str, name: str, expected_version: int, reply: WriteReply
    ) -> None:
        """Deletes an object if its version is as expected."""
        self._client.delete(
            kind, name, expected_version, _make_result_handler(reply)
        )

    def watch(
        self, kind: str, after_version: int, timeout_s: float, reply: ListReply
    ) -> None:
        """Waits for objects of a kind written after a version."""
        self._client.watch(
            kind, after_version, timeout_s, _make_result_handler(reply)
        )

    def list_vms(self, reply: FleetReply) -> None:
        """Reads the platform's list of VMs, which lags."""
        self._client.list_vms(_make_result_handler(reply))
