"""Reads settings: a TOML file, overridden by variables, then by flags."""

import os
import pathlib
import re
import tomllib
from collections.abc import Mapping
from typing import Any, Final

from expression import Error, Ok, Result

from mulberrybay_daemon.settings import NodeSettings
from mulberrybay_daemon.settings_checks import (
    CHECKS,
    SECTIONS,
    SettingsProblem,
    parse_settings,
)

ENVIRONMENT_PREFIX: Final = "MULBERRYBAY_"
LINE_PATTERN: Final = re.compile(r" \(at line (\d+), column (\d+)\)")

Document = dict[str, Any]


def load_settings(
    path: pathlib.Path,
    flags: Mapping[str, str | None] | None = None,
    environment: Mapping[str, str] | None = None,
) -> Result[NodeSettings, list[SettingsProblem]]:
    """Reads and checks the settings of a node.

    Args:
        path: The TOML file.
        flags: Values of the command line by key; None where not given.
        environment: Variables MULBERRYBAY_KEY override top-level keys and
            MULBERRYBAY_SECTION_KEY those of sections; the process's own by
            default.
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
            document[key] = _read_text(key, text)
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
        place = str(path)
        found = LINE_PATTERN.search(text)
        if found:
            place = f"{path}:{found[1]}:{found[2]}"
        return Error(SettingsProblem(place, f"not TOML: {text}"))


def _apply_environment(
    document: Document, variables: Mapping[str, str], sources: dict[str, str]
) -> None:
    for key in CHECKS:
        variable = ENVIRONMENT_PREFIX + key.upper()
        if variable in variables:
            document[key] = _read_text(key, variables[variable])
            sources[key] = variable
    for name, defaults in SECTIONS.items():
        for key in defaults._fields:
            variable = f"{ENVIRONMENT_PREFIX}{name}_{key}".upper()
            section = document.setdefault(name, {})
            if variable in variables and isinstance(section, dict):
                section[key] = _read_text(key, variables[variable])
                sources[f"{name}.{key}"] = variable


def _read_text(key: str, text: str) -> object:
    """Turns text into what the file would hold; the check does the rest."""
    if key == "seed_addresses":
        return [part for part in text.split(",") if part]
    if key.endswith("_count"):
        return int(text) if text.isdecimal() else text
    if key.endswith("_s"):
        try:
            return float(text)
        except ValueError:
            return text
    return text
