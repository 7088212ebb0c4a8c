"""Reads a node's settings from TOML and checks them."""

import pathlib
import tomllib
from typing import Any, Final

from mulberrybay_core.addresses import Address, parse_address
from mulberrybay_core.caller_messages import HeaderNames
from mulberrybay_core.shared_limits import RetryTerms
from mulberrybay_edge.settings import EdgeAddresses, EdgePaths, EdgeSettings

# Callers ask again this often; some keep an answer three times as long, and
# that must end before a process that stops is killed.
ADDRESS_LIFE_S: Final = 1.5
METRICS_PORT: Final = 9464


def _number(table: dict[str, Any], key: str) -> float:
    value = table.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{key}: {value!r} is not a number")
    if value < 0:
        raise ValueError(f"{key}: {value!r} is below 0")
    return value


def _text(table: dict[str, Any], key: str) -> str:
    value = table.get(key)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key}: {value!r} is not a text")
    return value


def _optional_address(table: dict[str, Any], key: str) -> Address | None:
    return parse_address(_text(table, key)) if key in table else None


def _table(document: dict[str, Any], key: str) -> dict[str, Any]:
    value = document.get(key)
    if not isinstance(value, dict):
        raise ValueError(f"{key}: the table is missing")
    return value


def parse_edge_settings(
    text: str, names: HeaderNames, paths: EdgePaths
) -> EdgeSettings:
    """Returns the settings in a text.

    Raises:
        ValueError: The text is no TOML, or a value is missing or wrong.
    """
    document = tomllib.loads(text)
    listen = _table(document, "listen")
    repeats = _table(document, "repeats")
    host = _text(listen, "host")
    return EdgeSettings(
        node_name=_text(document, "node_name"),
        failure_domain=_text(document, "failure_domain"),
        addresses=EdgeAddresses(
            callers=parse_address(_text(listen, "callers")),
            readiness=_optional_address(listen, "readiness"),
            directory=_optional_address(listen, "directory"),
            peers=Address(host, int(_number(listen, "peer_port"))),
            metrics=Address(
                host, int(listen.get("metrics_port", METRICS_PORT))
            ),
        ),
        paths=paths,
        names=names,
        retry_terms=RetryTerms(
            ratio=_number(repeats, "ratio"),
            window_s=_number(repeats, "window_s"),
            slack_count=_number(repeats, "slack_count"),
        ),
        cold_factor=_number(document, "cold_factor"),
        stop_grace_s=_number(document, "stop_grace_s"),
        address_life_s=min(
            ADDRESS_LIFE_S, _number(document, "max_address_life_s")
        ),
        store_address=parse_address(_text(document, "store_address")),
        cpu_cores=_number(document, "cpu_share")
        * _number(document, "core_speed"),
    )


def load_edge_settings(
    path: str, names: HeaderNames, paths: EdgePaths
) -> EdgeSettings:
    """Reads the settings from a file.

    Raises:
        OSError: The file can't be read.
        ValueError: See `parse_edge_settings`.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return parse_edge_settings(text, names, paths)
