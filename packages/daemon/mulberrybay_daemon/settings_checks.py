"""Checks a settings document and reports all of its problems together."""

import ipaddress
import math
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address, parse_address
from mulberrybay_core.admission import AdmissionSettings
from mulberrybay_core.callers.machine_limits import DEFAULT_MACHINE_LIMITS
from mulberrybay_core.membership import MembershipSettings
from mulberrybay_core.policy_arms import POLICY_ARMS, PolicySettings
from mulberrybay_core.write_budget import RunSettings
from mulberrybay_daemon.settings import NodeSettings

LOG_LEVELS: Final = ("debug", "info", "notice", "warning", "error")
LOG_FORMS: Final = ("json", "console")
ADDRESS_KEYS: Final = (
    "caller_address",
    "peer_address",
    "operator_address",
    "platform_address",
)


class SettingsProblem(NamedTuple):
    """One problem with the settings.

    Attributes:
        key: The key, or the path and position if the file is not valid TOML.
        detail: What is wrong and what is allowed.
        source: The environment variable or flag that set the key; empty for
            the file.
    """

    key: str
    detail: str
    source: str = ""

    def __str__(self) -> str:
        """Returns the problem as one line of an error message."""
        location = f"{self.key} ({self.source})" if self.source else self.key
        return f"{location}: {self.detail}"


CheckResult = Result[Any, str]
Check = Callable[[Any], CheckResult]


def _check_non_empty_string(value: object) -> CheckResult:
    if isinstance(value, str) and value.strip():
        return Ok(value)
    return Error("must be a non-empty string")


def _check_string(value: object) -> CheckResult:
    return Ok(value) if isinstance(value, str) else Error("must be a string")


def _check_address(value: object) -> CheckResult:
    try:
        address = parse_address(str(value))
        ipaddress.ip_address(address.host)
    except ValueError as error:
        return Error(f"{error}; write IP:PORT")
    return Ok(address)


def _check_addresses(value: object) -> CheckResult:
    if not isinstance(value, list):
        return Error("must be a list of IP:PORT")
    addresses: list[Address] = []
    for item in value:
        match _check_address(item):
            case Result(tag="ok", ok=address):
                addresses.append(address)
            case Result(error=detail):
                return Error(detail)
    return Ok(tuple(addresses))


def _check_positive_number(value: object) -> CheckResult:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 < float(str(value)) < math.inf:
        return Ok(value)
    return Error("must be a number above 0")


def _check_positive_integer(value: object) -> CheckResult:
    is_count = isinstance(value, int) and not isinstance(value, bool)
    if is_count and int(str(value)) > 0:
        return Ok(value)
    return Error("must be a whole number above 0")


def _make_choice_check(choices: tuple[str, ...]) -> Check:
    def check(value: object) -> CheckResult:
        if value in choices:
            return Ok(value)
        return Error(f"must be one of {', '.join(choices)}")

    return check


KEY_CHECKS: Final[Mapping[str, Check]] = {
    "node_id": _check_non_empty_string,
    "failure_domain": _check_non_empty_string,
    **dict.fromkeys(ADDRESS_KEYS, _check_address),
    "advertised_peer_address": _check_address,
    "platform_timeout_s": _check_positive_number,
    "seed_addresses": _check_addresses,
    "operator_token": _check_string,
    "log_level": _make_choice_check(LOG_LEVELS),
    "log_form": _make_choice_check(LOG_FORMS),
}
SECTION_DEFAULTS: Final[Mapping[str, Any]] = {
    "membership": MembershipSettings(),
    "admission": AdmissionSettings(),
    "runs": RunSettings(),
    "machine": DEFAULT_MACHINE_LIMITS,
    "policy": PolicySettings(),
}
_SECTION_KEY_CHECKS: Final = {"policy.arm": _make_choice_check(POLICY_ARMS)}


def _find_section_check(path: str, default: object) -> Check:
    check = _SECTION_KEY_CHECKS.get(path)
    if check is not None:
        return check
    return (
        _check_positive_integer
        if isinstance(default, int)
        else _check_positive_number
    )


def parse_settings(
    document: Mapping[str, Any], sources: Mapping[str, str] | None = None
) -> Result[NodeSettings, list[SettingsProblem]]:
    """Checks a settings document.

    Args:
        document: The keys and values from all sources.
        sources: The environment variable or flag that set each key, for
            messages; keys of the file are absent.

    Returns:
        The settings, or all problems that were found.
    """
    known = {*KEY_CHECKS, *SECTION_DEFAULTS}
    problems = [
        SettingsProblem(key, f"unknown key; known: {', '.join(sorted(known))}")
        for key in document
        if key not in known
    ]
    values: dict[str, Any] = {}
    for key, check in KEY_CHECKS.items():
        if key in document:
            _add_checked_value(key, check, document[key], values, problems)
        elif key not in NodeSettings._field_defaults:
            problems.append(SettingsProblem(key, "missing"))
    for name, defaults in SECTION_DEFAULTS.items():
        section = document.get(name, {})
        values[name] = _read_section(name, section, defaults, problems)
    problems += _check_combinations(values)
    if problems:
        source_by_key = sources or {}
        return Error(
            [x._replace(source=source_by_key.get(x.key, "")) for x in problems]
        )
    return Ok(NodeSettings(**values))


def _add_checked_value(
    key: str,
    check: Check,
    value: object,
    values: dict[str, Any],
    problems: list[SettingsProblem],
) -> None:
    match check(value):
        case Result(tag="ok", ok=checked):
            values[key] = checked
        case Result(error=detail):
            problems.append(SettingsProblem(key, detail))


def _read_section(
    name: str,
    section: object,
    defaults: Any,  # noqa: ANN401
    problems: list[SettingsProblem],
) -> Any:  # noqa: ANN401
    if not isinstance(section, dict):
        problems.append(SettingsProblem(name, "must be a table"))
        return defaults
    known = defaults._asdict()
    checked_values: dict[str, Any] = {}
    for key, value in section.items():
        path = f"{name}.{key}"
        if key not in known:
            detail = f"unknown key; known: {', '.join(known)}"
            problems.append(SettingsProblem(path, detail))
            continue
        check = _find_section_check(path, known[key])
        _add_checked_value(path, check, value, checked_values, problems)
    changes = {
        path.partition(".")[2]: type(known[path.partition(".")[2]])(value)
        for path, value in checked_values.items()
    }
    return defaults._replace(**changes)


def _check_combinations(values: Mapping[str, Any]) -> list[SettingsProblem]:
    """Checks rules that involve several keys."""
    problems = []
    membership = values["membership"]
    if (
        membership.lease_s
        <= membership.clock_margin_s + membership.heartbeat_period_s
    ):
        detail = "must be above heartbeat_period_s and clock_margin_s together"
        problems.append(SettingsProblem("membership.lease_s", detail))
    keys_by_address: dict[Address, str] = {}
    for key in ADDRESS_KEYS:
        address = values.get(key)
        if address in keys_by_address:
            detail = f"is the same as {keys_by_address[address]}"
            problems.append(SettingsProblem(key, detail))
        if address is not None:
            keys_by_address[address] = key
    return problems
