"""Reads settings from a TOML file, environment variables and flags.

Variables override the file, and flags override both.
"""

import os
import pathlib
import re
import tomllib
from collections.abc import Mapping
from typing import Any, Final

from expression import Error, Ok, Result

from mulberrybay_daemon.settings import NodeSettings
from mulberrybay_daemon.settings_checks import (
    KEY_CHECKS,
    SECTION_DEFAULTS,
    SettingsProblem,
    parse_settings,
)

ENVIRONMENT_PREFIX: Final = "MULBERRYBAY_"
TOML_POSITION_PATTERN: Final = re.compile(r" \(at line (\d+), column (\d+)\)")

Document = dict[str, Any]


def load_settings(
    path: pathlib.Path,
    flags: Mapping[str, str | None] | None = None,
    environment: Mapping[str, str] | None = None,
) -> Result[NodeSettings, list[SettingsProblem]]:
    """Reads and checks the settings of a node.

    Args:
        path: The TOML file.
        flags: Values of the command line by key; None for a flag that was
            not given.
        environment: The environment variables; by default those of this
            process. MULBERRYBAY_KEY overrides a top-level key and
            MULBERRYBAY_SECTION_KEY a key of a section.

    Returns:
        The settings, or all problems that were found.
    """
    match _read_file(path):
        case Result(tag="ok", ok=document):
            pass
        case Result(error=problem):
            return Error([problem])
    sources: dict[str, str] = {}
    variables = os.environ if environment is None else environment
    _apply_environment(document, variables, sources)
    for key, text in (flags or {}).items():
        if text is not None:
            document[key] = _parse_text(key, text)
            sources[key] = f"--{key.replace('_', '-')}"
    return parse_settings(document, sources)


def _read_file(path: pathlib.Path) -> Result[Document, SettingsProblem]:
    try:
        return Ok(tomllib.loads(path.read_text(encoding="utf-8")))
    except OSError as error:
        return Error(SettingsProblem(str(path), str(error.strerror)))
    except UnicodeDecodeError as error:
        return Error(SettingsProblem(str(path), str(error)))
    except tomllib.TOMLDecodeError as error:
        text = str(error)
        location = str(path)
        position = TOML_POSITION_PATTERN.search(text)
        if position:
            location = f"{path}:{position[1]}:{position[2]}"
        return Error(SettingsProblem(location, f"not TOML: {text}"))


def _apply_environment(
    document: Document, variables: Mapping[str, str], sources: dict[str, str]
) -> None:
    for key in KEY_CHECKS:
        variable = ENVIRONMENT_PREFIX + key.upper()
        if variable in variables:
            document[key] = _parse_text(key, variables[variable])
            sources[key] = variable
    for name, defaults in SECTION_DEFAULTS.items():
        for key in defaults._fields:
            variable = f"{ENVIRONMENT_PREFIX}{name}_{key}".upper()
            section = document.setdefault(name, {})
            if variable in variables and isinstance(section, dict):
                section[key] = _parse_text(key, variables[variable])
                sources[f"{name}.{key}"] = variable


def _parse_text(key: str, text: str) -> object:
    """Converts text to the type that the key has in the file.

    Text that cannot be converted is returned as it is, so that the check of
    the key reports it.
    """
    if key == "seed_addresses":
        return [address for address in text.split(",") if address]
    if key.endswith("_count"):
        return int(text) if text.isdecimal() else text
    if key.endswith("_s"):
        try:
            return float(text)
        except ValueError:
            return text
    return text
