"""The settings of one node: a TOML file, then the environment, then flags."""

import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.addresses import Address, parse_address
from mulberrybay_core.admission import AdmissionSettings
from mulberrybay_core.membership import MembershipSettings
from mulberrybay_core.policy_arms import POLICY_ARMS, PolicySettings
from mulberrybay_core.write_budget import RunSettings

ENVIRONMENT_PREFIX: Final = "MULBERRYBAY_"
LOG_LEVELS: Final = ("debug", "info", "notice", "warning", "error")
LOG_FORMS: Final = ("json", "console")


class NodeSettings(NamedTuple):
    """The settings of one node.

    Attributes:
        node_id: Its identity; the platform lists its VM under it.
        failure_domain: Where it runs.
        caller_address: Where it listens for callers.
        peer_address: Where it listens for other nodes.
        operator_address: Where it listens for operators.
        platform_address: The platform's object API.
        platform_timeout_s: How long a call to the platform may take.
        advertised_peer_address: Where other nodes reach this one, if that is
            not the address at which it listens.
        seed_addresses: Peers to ask for members when the platform is down.
        operator_token: What operators must show; empty to refuse them all.
        log_level: The lowest level that is logged.
        log_form: JSON lines for programs, or console lines for people.
        membership: Times of leases.
        admission: Limits on the node's work.
        runs: Limits on non-idempotent requests.
        policy: Which decisions are in force, for experiments.
    """

    node_id: str
    failure_domain: str
    caller_address: Address
    peer_address: Address
    operator_address: Address
    platform_address: Address
    platform_timeout_s: float = 1.0
    advertised_peer_address: Address | None = None
    seed_addresses: tuple[Address, ...] = ()
    operator_token: str = ""
    log_level: str = "info"
    log_form: str = "json"
    membership: MembershipSettings = MembershipSettings()
    admission: AdmissionSettings = AdmissionSettings()
    runs: RunSettings = RunSettings()
    policy: PolicySettings = PolicySettings()


class SettingsProblem(NamedTuple):
    """One thing wrong with the settings.

    Attributes:
        key: The key, or the file if it is not TOML.
        detail: What is wrong and what is allowed.
    """

    key: str
    detail: str

    def __str__(self) -> str:
        """Returns the problem as a line for people."""
        return f"{self.key}: {self.detail}"


_ADDRESS_KEYS: Final = (
    "caller_address",
    "peer_address",
    "operator_address",
    "platform_address",
)
_TEXT_KEYS: Final = ("node_id", "failure_domain")
_SECTIONS: Final = {
    "membership": MembershipSettings,
    "admission": AdmissionSettings,
    "runs": RunSettings,
    "policy": PolicySettings,
}
_SECTION_CHOICES: Final = {"policy.arm": POLICY_ARMS}
_KNOWN_KEYS: Final = frozenset(NodeSettings._fields)


def load_settings(
    path: pathlib.Path, environment: Mapping[str, str] | None = None
) -> Result[NodeSettings, list[SettingsProblem]]:
    """Reads and checks the settings of a node.

    Args:
        path: The TOML file.
        environment: Variables MULBERRYBAY_KEY override top-level keys;
            the process's own by default.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Error([SettingsProblem(str(path), str(error.strerror))])
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        # tomllib's text names the line and column.
        return Error([SettingsProblem(str(path), str(error))])
    variables = os.environ if environment is None else environment
    for key in _KNOWN_KEYS - set(_SECTIONS):
        text = variables.get(ENVIRONMENT_PREFIX + key.upper())
        if text is not None:
            document[key] = _read_variable(key, text)
    return parse_settings(document)


def _read_variable(key: str, text: str) -> Any:  # noqa: ANN401
    if key == "seed_addresses":
        return [part for part in text.split(",") if part]
    if key == "platform_timeout_s":
        try:
            return float(text)
        except ValueError:
            return text
    return text


def parse_settings(
    document: Mapping[str, Any],
) -> Result[NodeSettings, list[SettingsProblem]]:
    """Checks a settings document and reports all its problems at once."""
    problems = [
        SettingsProblem(key, f"unknown key; known: {_list_known()}")
        for key in document
        if key not in _KNOWN_KEYS
    ]
    values: dict[str, Any] = {}
    for key in _TEXT_KEYS:
        _take_text(document, key, values, problems)
    for key in _ADDRESS_KEYS:
        _take_address(document, key, values, problems)
    if "advertised_peer_address" in document:
        _take_address(document, "advertised_peer_address", values, problems)
    _take_seeds(document, values, problems)
    _take_choice(document, "log_level", LOG_LEVELS, values, problems)
    _take_choice(document, "log_form", LOG_FORMS, values, problems)
    token = document.get("operator_token", "")
    if isinstance(token, str):
        values["operator_token"] = token
    else:
        problems.append(SettingsProblem("operator_token", "must be a string"))
    timeout_s = document.get("platform_timeout_s", 1.0)
    if _is_positive(timeout_s):
        values["platform_timeout_s"] = float(timeout_s)
    else:
        problems.append(
            SettingsProblem("platform_timeout_s", "must be a number above 0")
        )
    for name, model in _SECTIONS.items():
        _take_section(document, name, model, values, problems)
    if problems:
        return Error(problems)
    return Ok(NodeSettings(**values))


def _list_known() -> str:
    return ", ".join(sorted(_KNOWN_KEYS))


def _is_positive(value: object) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and float(str(value)) > 0


def _take_text(
    document: Mapping[str, Any],
    key: str,
    values: dict[str, Any],
    problems: list[SettingsProblem],
) -> None:
    value = document.get(key)
    if isinstance(value, str) and value:
        values[key] = value
    else:
        problems.append(SettingsProblem(key, "must be a non-empty string"))


def _take_address(
    document: Mapping[str, Any],
    key: str,
    values: dict[str, Any],
    problems: list[SettingsProblem],
) -> None:
    try:
        values[key] = parse_address(str(document.get(key, "")))
    except ValueError as error:
        problems.append(SettingsProblem(key, f"{error}; write IP:PORT"))


def _take_seeds(
    document: Mapping[str, Any],
    values: dict[str, Any],
    problems: list[SettingsProblem],
) -> None:
    seeds = document.get("seed_addresses", [])
    if not isinstance(seeds, list):
        problems.append(SettingsProblem("seed_addresses", "must be a list"))
        return
    try:
        values["seed_addresses"] = tuple(parse_address(str(x)) for x in seeds)
    except ValueError as error:
        problems.append(SettingsProblem("seed_addresses", str(error)))


def _take_choice(
    document: Mapping[str, Any],
    key: str,
    choices: tuple[str, ...],
    values: dict[str, Any],
    problems: list[SettingsProblem],
) -> None:
    value = document.get(key)
    if value is None:
        return
    if value in choices:
        values[key] = value
    else:
        allowed = ", ".join(choices)
        problems.append(SettingsProblem(key, f"must be one of {allowed}"))


def _take_section(
    document: Mapping[str, Any],
    name: str,
    model: Any,  # noqa: ANN401
    values: dict[str, Any],
    problems: list[SettingsProblem],
) -> None:
    section = document.get(name, {})
    if not isinstance(section, dict):
        problems.append(SettingsProblem(name, "must be a table"))
        return
    defaults = model()._asdict()
    for key, value in section.items():
        if key not in defaults:
            known = ", ".join(defaults)
            problems.append(
                SettingsProblem(f"{name}.{key}", f"unknown; known: {known}")
            )
        elif f"{name}.{key}" in _SECTION_CHOICES:
            choices = _SECTION_CHOICES[f"{name}.{key}"]
            _take_choice(section, key, choices, defaults, problems)
        elif not _is_positive(value):
            problems.append(
                SettingsProblem(f"{name}.{key}", "must be a number above 0")
            )
        else:
            defaults[key] = type(defaults[key])(value)
    values[name] = model(**defaults)
