"""The program `mulberrybay`: the operators' command line."""

import json
import sys

import cappa
from expression import Error, Result

from mulberrybay_core.addresses import Address, parse_address
from mulberrybay_operators import (
    burn_command,
    configuration_commands,
    explain_command,
    node_commands,
    status_command,
)
from mulberrybay_operators.command_line import (
    Addresses,
    Audit,
    Config,
    ConfigApply,
    ConfigDiff,
    ConfigShow,
    ConfigValidate,
    Domain,
    Explain,
    Mulberrybay,
    Query,
    Report,
    Run,
    Server,
    Status,
)
from mulberrybay_operators.exit_codes import CommandFailure, ExitCode
from mulberrybay_operators.node_client import NodeClient
from mulberrybay_operators.outputs import (
    CommandResult,
    Session,
    read_user_name,
)


def run_command(arguments: Mulberrybay) -> CommandResult:
    """Runs the command that the arguments name."""
    match arguments.command:
        case Config(ConfigValidate() as command):
            return configuration_commands.validate(command)
        case Explain() as command:
            return explain_command.explain(command)
        case _:
            pass
    if not arguments.nodes:
        detail = "give --node HOST:PORT or set MULBERRYBAY_NODES"
        return Error(CommandFailure(ExitCode.USAGE, detail))
    addresses: list[Address] = []
    for text in arguments.nodes:
        try:
            addresses.append(parse_address(text))
        except ValueError as error:
            return Error(CommandFailure(ExitCode.USAGE, f"--node: {error}"))
    client = NodeClient(tuple(addresses), arguments.token, arguments.timeout_s)
    author = arguments.operator or read_user_name()
    return _run_on_nodes(Session(client, author), arguments)


def _run_on_nodes(session: Session, arguments: Mulberrybay) -> CommandResult:
    match arguments.command:
        case Config(command):
            return _run_config(session, command)
        case Domain(command):
            return configuration_commands.set_state(session, "domains", command)
        case Server(command):
            return configuration_commands.set_state(session, "servers", command)
        case Status() as command:
            return status_command.show_status(session, command)
        case Audit() as command:
            return node_commands.show_audit(session, command)
        case Report() as command:
            return burn_command.report_burn(session, command.command)
        case Addresses() as command:
            return node_commands.show_addresses(session, command)
        case Query() as command:
            return node_commands.send_query(session, command)
        case Run() as command:
            return node_commands.send_run(session, command)
        case Explain() as command:
            return explain_command.explain(command)


def _run_config(
    session: Session,
    command: ConfigValidate | ConfigShow | ConfigDiff | ConfigApply,
) -> CommandResult:
    match command:
        case ConfigValidate():
            return configuration_commands.validate(command)
        case ConfigShow():
            return configuration_commands.show(session, command)
        case ConfigDiff():
            return configuration_commands.diff(session, command)
        case ConfigApply():
            return configuration_commands.apply(session, command)


def print_result(result: CommandResult, is_json: bool) -> ExitCode:
    """Prints a command's result or failure; returns its exit code."""
    match result:
        case Result(tag="ok", ok=output):
            text = json.dumps(output.document) if is_json else output.text
            print(text)
            return output.exit_code
        case Result(error=failure):
            print(f"mulberrybay: {failure.detail}", file=sys.stderr)
            return failure.exit_code


def main() -> None:
    """Parses the command line, runs the command and exits."""
    arguments = cappa.parse(Mulberrybay, backend=cappa.backend)
    sys.exit(print_result(run_command(arguments), arguments.json))
