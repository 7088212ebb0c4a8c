"""The configuration file: classes of work and their targets, in TOML.

The file doesn't contain what is out of service. Operators change that with
separate commands, and applying a file leaves it as it is.
"""

import re
import tomllib
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.configuration import Targets, WorkClass

CLASS_KEY: Final = "class"
MAX_CLASS_COUNT: Final = 1000
MAX_LATENESS_MS: Final = 30_000.0
NAME_PATTERN: Final = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")


class ConfigurationProblem(NamedTuple):
    """One error in a configuration file.

    Attributes:
        key: The key in question, such as
            "class[2] billing-desk.lateness_ms"; empty for the whole file.
        detail: What is wrong and which values are allowed.
    """

    key: str
    detail: str

    def __str__(self) -> str:
        """Returns the problem as one line of text."""
        return f"{self.key}: {self.detail}" if self.key else self.detail


ClassesResult = Result[tuple[WorkClass, ...], list[ConfigurationProblem]]


class _FieldRule(NamedTuple):
    """The rule for one key of a class table.

    Attributes:
        key: The key.
        is_valid: Returns whether a value is allowed.
        requirement: Text that completes "must be ..." in error messages.
    """

    key: str
    is_valid: Callable[[Any], bool]
    requirement: str


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


_FIELD_RULES: Final = (
    _FieldRule(
        "name",
        lambda value: (
            isinstance(value, str) and bool(NAME_PATTERN.fullmatch(value))
        ),
        "1 to 63 characters of a-z, 0-9 and -, with no - at either end",
    ),
    _FieldRule(
        "allows_runs", lambda value: isinstance(value, bool), "true or false"
    ),
    _FieldRule(
        "lateness_ms",
        lambda value: _is_number(value) and 0 < value <= MAX_LATENESS_MS,
        f"a number above 0 and up to {MAX_LATENESS_MS:.0f}",
    ),
    _FieldRule(
        "lateness_percent",
        lambda value: _is_number(value) and 0 < value <= 100,
        "a number above 0 and up to 100",
    ),
    _FieldRule(
        "coverage_percent",
        lambda value: _is_number(value) and 0 < value <= 100,
        "a number above 0 and up to 100",
    ),
    _FieldRule(
        "extra_load_percent",
        lambda value: _is_number(value) and 0 <= value <= 100,
        "a number from 0 to 100",
    ),
)
_KNOWN_KEYS: Final = tuple(rule.key for rule in _FIELD_RULES)


def parse_configuration_file(text: str) -> ClassesResult:
    """Parses and validates the text of a file; reports all problems."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        # The error's text contains the line and the column.
        return Error([ConfigurationProblem("", f"not TOML: {error}")])
    return parse_class_tables(document)


def parse_class_tables(document: Mapping[str, Any]) -> ClassesResult:
    """Validates a parsed file, or the same document from JSON."""
    problems = [
        ConfigurationProblem(key, f"unknown key; known: {CLASS_KEY}")
        for key in document
        if key != CLASS_KEY
    ]
    tables = document.get(CLASS_KEY)
    if not isinstance(tables, list) or not tables:
        problems.append(
            ConfigurationProblem(CLASS_KEY, "must be one or more tables")
        )
        return Error(problems)
    if len(tables) > MAX_CLASS_COUNT:
        detail = f"{len(tables)} tables; at most {MAX_CLASS_COUNT}"
        return Error([*problems, ConfigurationProblem(CLASS_KEY, detail)])
    for position, table in enumerate(tables, start=1):
        problems += _check_table(position, table)
    problems += _check_names(tables)
    if problems:
        return Error(problems)
    return Ok(tuple(_make_class(table) for table in tables))


def _locate_table(position: int, table: object) -> str:
    name = table.get("name") if isinstance(table, dict) else None
    suffix = f" {name}" if isinstance(name, str) else ""
    return f"{CLASS_KEY}[{position}]{suffix}"


def _check_table(position: int, table: object) -> list[ConfigurationProblem]:
    location = _locate_table(position, table)
    if not isinstance(table, dict):
        return [ConfigurationProblem(location, "must be a table")]
    known = ", ".join(_KNOWN_KEYS)
    problems = [
        ConfigurationProblem(
            f"{location}.{key}", f"unknown key; known: {known}"
        )
        for key in table
        if key not in _KNOWN_KEYS
    ]
    for rule in _FIELD_RULES:
        problem_key = f"{location}.{rule.key}"
        if rule.key not in table:
            detail = f"missing; must be {rule.requirement}"
            problems.append(ConfigurationProblem(problem_key, detail))
        elif not rule.is_valid(table[rule.key]):
            detail = f"{table[rule.key]!r}; must be {rule.requirement}"
            problems.append(ConfigurationProblem(problem_key, detail))
    return problems


def _check_names(tables: list[Any]) -> list[ConfigurationProblem]:
    seen: set[str] = set()
    problems = []
    for position, table in enumerate(tables, start=1):
        name = table.get("name") if isinstance(table, dict) else None
        if not isinstance(name, str):
            continue
        if name in seen:
            problem_key = f"{_locate_table(position, table)}.name"
            detail = "another class has this name"
            problems.append(ConfigurationProblem(problem_key, detail))
        seen.add(name)
    return problems


def _make_class(table: Mapping[str, Any]) -> WorkClass:
    return WorkClass(
        name=table["name"],
        allows_runs=table["allows_runs"],
        targets=Targets(*(float(table[key]) for key in Targets._fields)),
    )


def encode_class_tables(classes: tuple[WorkClass, ...]) -> dict[str, Any]:
    """Returns the document that `parse_class_tables` parses."""
    return {
        CLASS_KEY: [
            {
                "name": item.name,
                "allows_runs": item.allows_runs,
                **item.targets._asdict(),
            }
            for item in classes
        ]
    }


def format_configuration_file(classes: tuple[WorkClass, ...]) -> str:
    """Returns the text of a configuration file with these classes."""
    tables = []
    for item in classes:
        lines = [
            f"[[{CLASS_KEY}]]",
            f'name = "{item.name}"',
            f"allows_runs = {str(item.allows_runs).lower()}",
        ]
        for key, value in item.targets._asdict().items():
            number = int(value) if value == int(value) else value
            lines.append(f"{key} = {number}")
        tables.append("\n".join(lines) + "\n")
    return "\n".join(tables)
