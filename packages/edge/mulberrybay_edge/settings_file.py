"""Reads a node's settings from a TOML file and validates them."""

import math
import pathlib
import tomllib
from typing import Any, Final

from mulberrybay_core.addresses import MAX_PORT, Address, parse_address
from mulberrybay_core.caller_messages import HeaderNames
from mulberrybay_core.callers.machine_limits import (
    DEFAULT_MACHINE_LIMITS,
    MachineLimits,
)
from mulberrybay_core.follow_times import FollowTimes
from mulberrybay_core.rollouts import RolloutTerms
from mulberrybay_core.shared_limits import RetryBudgetSettings
from mulberrybay_core.tenants.quotas import QuotaTerms
from mulberrybay_edge.settings import (
    EdgeAddresses,
    EdgeBoundNames,
    EdgePaths,
    EdgeSettings,
)
from mulberrybay_runtime.json_input import decode_json

# The longest time for which callers are told to cache a reply of the directory.
# Some cache it three times as long, and this must still expire before a
# stopping process is killed.
ADDRESS_LIFE_S: Final = 1.5
DEFAULT_METRICS_PORT: Final = 9464
DEFAULT_CONTACT_MS: Final = 4000
DEFAULT_APPLY_MS: Final = 3000
# A request sent later than this before a leaving server stops may be cut off.
SERVER_STOP_MARGIN_S: Final = 1.0


def _get_number(
    table: dict[str, Any], key: str, default: float | None = None
) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{key}: {value!r} is not a number")
    if not math.isfinite(value) or value < 0:
        raise ValueError(f"{key}: {value!r} is infinite or below 0")
    return value


def _get_port(
    table: dict[str, Any], key: str, default: int | None = None
) -> int:
    port = int(_get_number(table, key, default))
    if not 1 <= port <= MAX_PORT:
        raise ValueError(f"{key}: {port} is not between 1 and {MAX_PORT}")
    return port


def _get_string(table: dict[str, Any], key: str) -> str:
    value = table.get(key)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key}: {value!r} is not a non-empty string")
    return value


def _get_optional_address(table: dict[str, Any], key: str) -> Address | None:
    return parse_address(_get_string(table, key)) if key in table else None


def _get_table(document: dict[str, Any], key: str) -> dict[str, Any]:
    value = document.get(key)
    if not isinstance(value, dict):
        raise ValueError(f"{key}: not a table, or missing")
    return value


def _read_bounds(document: dict[str, Any]) -> dict[str, Any]:
    """Returns the bounds, which are a JSON object as text."""
    text = document.get("bounds", "{}")
    if not isinstance(text, str):
        raise ValueError("bounds: not a string")
    bounds = decode_json(text.encode())
    if not isinstance(bounds, dict):
        raise ValueError("bounds: not a JSON object")
    return bounds


def _parse_quotas(
    bounds: dict[str, Any], names: EdgeBoundNames
) -> QuotaTerms | None:
    """Returns the bounds on quotas; None without a window."""
    if names.quota_window_s not in bounds:
        return None
    window_s = _get_number(bounds, names.quota_window_s)
    if window_s <= 0:
        raise ValueError(f"{names.quota_window_s}: {window_s!r} is not above 0")
    return QuotaTerms(
        window_s,
        _get_number(bounds, names.quota_excess, 0.0),
        _get_number(bounds, names.quota_slack, 0.0),
    )


def _parse_follow_times(
    bounds: dict[str, Any], names: EdgeBoundNames
) -> FollowTimes:
    """Returns the times that follow from the bounds."""
    return FollowTimes.from_bounds(
        _get_number(bounds, names.contact_ms, DEFAULT_CONTACT_MS) / 1000,
        _get_number(bounds, names.apply_ms, DEFAULT_APPLY_MS) / 1000,
    )


def _parse_machine(document: dict[str, Any]) -> MachineLimits:
    """Returns the machine's limits; 0 stands for one that is not stated."""
    defaults = DEFAULT_MACHINE_LIMITS
    memory_mb = _get_number(document, "memory_mb", defaults.memory_mb)
    descriptor_count = _get_number(
        document, "max_descriptors", defaults.max_descriptors
    )
    return MachineLimits(
        memory_mb or defaults.memory_mb,
        int(descriptor_count) or defaults.max_descriptors,
    )


def _parse_rollout_terms(document: dict[str, Any]) -> RolloutTerms | None:
    """Returns the bounds of rollouts; None if the table is absent."""
    if "rollouts" not in document:
        return None
    table = _get_table(document, "rollouts")
    return RolloutTerms(
        expose_share=_get_number(table, "expose_share"),
        expose_slack_count=_get_number(table, "expose_slack"),
        rollback_s=_get_number(table, "rollback_ms") / 1000,
    )


def parse_edge_settings(
    text: str,
    names: HeaderNames,
    paths: EdgePaths,
    bound_names: EdgeBoundNames,
) -> EdgeSettings:
    """Returns the settings in a TOML document.

    Raises:
        ValueError: The text is not valid TOML, or a value is missing or
            invalid.
    """
    document = tomllib.loads(text)
    listen = _get_table(document, "listen")
    retry_budget = _get_table(document, "repeats")
    host = _get_string(listen, "host")
    bounds = _read_bounds(document)
    return EdgeSettings(
        node_name=_get_string(document, "node_name"),
        failure_domain=_get_string(document, "failure_domain"),
        addresses=EdgeAddresses(
            callers=parse_address(_get_string(listen, "callers")),
            readiness=_get_optional_address(listen, "readiness"),
            directory=_get_optional_address(listen, "directory"),
            peers=Address(host, _get_port(listen, "peer_port")),
            metrics=Address(
                host, _get_port(listen, "metrics_port", DEFAULT_METRICS_PORT)
            ),
        ),
        paths=paths,
        names=names,
        retry_terms=RetryBudgetSettings(
            ratio=_get_number(retry_budget, "ratio"),
            window_s=_get_number(retry_budget, "window_s"),
            slack_count=_get_number(retry_budget, "slack_count"),
        ),
        cold_factor=_get_number(document, "cold_factor"),
        leaving_service_s=max(
            0.0,
            _get_number(document, "server_drain_ms", 0.0) / 1000
            - SERVER_STOP_MARGIN_S,
        ),
        stop_grace_s=_get_number(document, "stop_grace_s"),
        address_life_s=min(
            ADDRESS_LIFE_S, _get_number(document, "max_address_life_s")
        ),
        store_address=parse_address(_get_string(document, "store_address")),
        cpu_cores=_get_number(document, "cpu_share")
        * _get_number(document, "core_speed"),
        follow_times=_parse_follow_times(bounds, bound_names),
        machine=_parse_machine(document),
        rollouts=_parse_rollout_terms(document),
        quotas=_parse_quotas(bounds, bound_names),
    )


def load_edge_settings(
    path: str,
    names: HeaderNames,
    paths: EdgePaths,
    bound_names: EdgeBoundNames,
) -> EdgeSettings:
    """Reads the settings from a file.

    Raises:
        OSError: The file can't be read.
        ValueError: The content is invalid, see `parse_edge_settings`.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return parse_edge_settings(text, names, paths, bound_names)
