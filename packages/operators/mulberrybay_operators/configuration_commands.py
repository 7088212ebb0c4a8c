"""Commands on the configuration, failure domains and backend servers."""

import json
import pathlib
import urllib.parse
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from mulberrybay_core.configuration import Configuration, WorkClass
from mulberrybay_core.configuration_file import (
    encode_class_tables,
    format_configuration_file,
    parse_configuration_file,
)
from mulberrybay_core.documents import decode_configuration
from mulberrybay_operators.change_commands import (
    ChangeReport,
    RequestedChange,
    submit_change,
)
from mulberrybay_operators.command_line import (
    ConfigApply,
    ConfigDiff,
    ConfigShow,
    ConfigValidate,
    In,
    Out,
)
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.outputs import CommandResult, Output, Session
from mulberrybay_operators.tables import format_table

CONFIGURATION_PATH = "/v1/configuration"


class Difference(NamedTuple):
    """One difference between two configurations; the fields are JSON keys.

    Attributes:
        class_name: The class of work.
        key: The key of the class; empty if the class was added or removed.
        before: The value in force; None if the class was added.
        after: The value in the file; None if the class was removed.
    """

    class_name: str
    key: str
    before: object
    after: object

    def __str__(self) -> str:
        """Returns the difference as a line of text."""
        if not self.key:
            return f"{'+' if self.before is None else '-'} {self.class_name}"
        return f"~ {self.class_name}.{self.key}: {self.before} -> {self.after}"


def compare_classes(
    before: tuple[WorkClass, ...], after: tuple[WorkClass, ...]
) -> list[Difference]:
    """Returns the added and removed classes, then the changed keys."""
    old = {item["name"]: item for item in encode_class_tables(before)["class"]}
    new = {item["name"]: item for item in encode_class_tables(after)["class"]}
    differences = [
        Difference(name, "", None, new[name]) for name in new if name not in old
    ]
    differences += [
        Difference(name, "", old[name], None) for name in old if name not in new
    ]
    differences += [
        Difference(name, key, old[name][key], value)
        for name, table in new.items()
        if name in old
        for key, value in table.items()
        if old[name][key] != value
    ]
    return differences


def validate(command: ConfigValidate) -> CommandResult:
    """Checks a configuration file without contacting a node."""

    def describe(classes: tuple[WorkClass, ...]) -> Output:
        text = f"{command.file}: valid, {len(classes)} classes of work"
        return Output(text, encode_class_tables(classes))

    return _read_file(command.file).map(describe)


def _read_file(
    path: pathlib.Path,
) -> Result[tuple[WorkClass, ...], CommandFailure]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(CommandFailure(ExitCode.USAGE, f"{path}: {error}"))

    def describe(problems: list[Any]) -> CommandFailure:
        lines = [f"{path}: {problem}" for problem in problems]
        return CommandFailure(ExitCode.USAGE, "\n".join(lines))

    return parse_configuration_file(text).map_error(describe)


def _fetch_configuration(
    session: Session,
) -> Result[Configuration, CommandFailure]:
    return session.client.read_document(CONFIGURATION_PATH).bind(
        lambda document: decode_configuration(document).map_error(
            lambda detail: CommandFailure(ExitCode.FAILED, detail)
        )
    )


def show(session: Session, command: ConfigShow) -> CommandResult:
    """Shows the configuration in force."""

    def describe(configuration: Configuration) -> Output:
        tables = encode_class_tables(configuration.classes)
        document = {
            "revision": configuration.revision,
            **tables,
            "out_domains": sorted(configuration.out_domains),
            "out_servers": sorted(configuration.out_servers),
        }
        if command.toml:
            text = format_configuration_file(configuration.classes).rstrip()
            return Output(text, document)
        return Output(_format_configuration(configuration), document)

    return _fetch_configuration(session).map(describe)


def _format_configuration(configuration: Configuration) -> str:
    headings = ["CLASS", "RUNS", "LATENESS ms", "%", "COVERAGE %", "EXTRA %"]
    rows = [
        [item.name, "yes" if item.allows_runs else "no", *item.targets]
        for item in configuration.classes
    ]
    out_domains = ", ".join(sorted(configuration.out_domains)) or "none"
    out_servers = ", ".join(sorted(configuration.out_servers)) or "none"
    return "\n".join(
        [
            f"revision {configuration.revision} by {configuration.author}: "
            f"{configuration.summary}",
            format_table(headings, rows),
            f"failure domains out: {out_domains}",
            f"backend servers out: {out_servers}",
        ]
    )


def _describe_differences(
    configuration: Configuration, classes: tuple[WorkClass, ...]
) -> Output:
    differences = compare_classes(configuration.classes, classes)
    lines = [str(item) for item in differences] or ["no differences"]
    return Output(
        "\n".join([f"revision {configuration.revision} in force", *lines]),
        {
            "revision": configuration.revision,
            "differences": [item._asdict() for item in differences],
        },
        ExitCode.DIFFERENT if differences else ExitCode.DONE,
    )


def diff(session: Session, command: ConfigDiff) -> CommandResult:
    """Compares a file with the configuration in force."""
    return _read_file(command.file).bind(
        lambda classes: _fetch_configuration(session).map(
            lambda in_force: _describe_differences(in_force, classes)
        )
    )


def apply(session: Session, command: ConfigApply) -> CommandResult:
    """Applies a configuration file and waits until it is in force."""
    return _read_file(command.file).bind(
        lambda classes: _fetch_configuration(session).bind(
            lambda in_force: _apply_classes(session, command, in_force, classes)
        )
    )


def _apply_classes(
    session: Session,
    command: ConfigApply,
    in_force: Configuration,
    classes: tuple[WorkClass, ...],
) -> CommandResult:
    comparison = _describe_differences(in_force, classes)
    if comparison.exit_code is ExitCode.DONE and not command.change_id:
        is_revision_expected = command.expect in {None, in_force.revision}
        if is_revision_expected:
            document = {"outcome": "unchanged", "revision": in_force.revision}
            return Ok(Output("nothing to change", document))
    expected = command.expect
    if expected is None:
        expected = in_force.revision
    change = RequestedChange(
        CONFIGURATION_PATH,
        encode_class_tables(classes),
        session.author,
        expected,
        command.change_id,
    )
    return submit_change(session.client, change).map(
        lambda report: _describe_change(report, comparison.text)
    )


def set_state(
    session: Session, resource: str, command: Out | In
) -> CommandResult:
    """Takes a failure domain or backend server out of service or back in.

    Args:
        session: The client and the author of the change.
        resource: The kind of object in the path: "domains" or "servers".
        command: The new state, with the name of the object.
    """
    state = "out" if isinstance(command, Out) else "in"
    name = urllib.parse.quote(command.name, safe="")
    change = RequestedChange(
        f"/v1/{resource}/{name}",
        {"state": state},
        session.author,
        command.expect,
        command.change_id,
    )
    return submit_change(session.client, change).map(
        lambda report: _describe_change(report, f"{command.name}: {state}")
    )


def _describe_change(report: ChangeReport, heading: str) -> Output:
    lines = [heading, f"revision {report.revision} accepted"]
    exit_code = ExitCode.DONE
    if report.unconfirmed:
        exit_code = ExitCode.NOT_IN_FORCE
        lines.append(f"not confirmed after {report.waited_s:.1f} s:")
        lines += [f"  {node}" for node in report.unconfirmed]
    else:
        lines.append(
            f"in force at all {report.node_count} nodes "
            f"after {report.waited_s:.1f} s"
        )
    document = json.loads(json.dumps(report.document()))
    return Output("\n".join(lines), document, exit_code)
