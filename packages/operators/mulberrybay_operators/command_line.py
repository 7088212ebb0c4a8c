"""Commands and arguments of the program `mulberrybay`."""

import pathlib
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa

JsonOption = Annotated[
    bool,
    cappa.Arg(
        long="--json", propagate=True, show_default=False, help="Print JSON."
    ),
]
ExpectOption = Annotated[
    int | None,
    cappa.Arg(
        long="--expect",
        value_name="REVISION",
        help="Fail with a conflict if this is not the newest revision.",
    ),
]
ChangeIdOption = Annotated[
    str,
    cappa.Arg(
        long="--change-id",
        help="Retry a change whose outcome is unknown.",
    ),
]
OnlyOption = Annotated[
    bool,
    cappa.Arg(
        long="--only",
        show_default=False,
        help="Ask only the nodes given by --node, not their peers.",
    ),
]
NameArgument = Annotated[str, cappa.Arg(help="Its name or identity.")]
ClassNameArgument = Annotated[
    str, cappa.Arg(value_name="CLASS", help="The class of work.")
]
BodyArgument = Annotated[str, cappa.Arg(help="The request, as JSON.")]
FileArgument = Annotated[
    pathlib.Path, cappa.Arg(help="The TOML file of the classes of work.")
]


@cappa.command(name="validate", help="Check a configuration file.")
@dataclass
class ConfigValidate:
    """Checks a configuration file without contacting a node."""

    file: FileArgument


@cappa.command(name="show", help="Show the configuration in force.")
@dataclass
class ConfigShow:
    """Shows the configuration in force."""

    toml: Annotated[
        bool,
        cappa.Arg(
            long="--toml",
            show_default=False,
            help="Print a configuration file.",
        ),
    ] = False


@cappa.command(
    name="diff", help="Compare a file with the configuration in force."
)
@dataclass
class ConfigDiff:
    """Compares a file with the configuration in force."""

    file: FileArgument


@cappa.command(
    name="apply",
    help="Apply a configuration file and wait until it is in force.",
    epilog="Example: mulberrybay config apply hardwell.toml --expect 12",
)
@dataclass
class ConfigApply:
    """Replaces the configuration with that of a file."""

    file: FileArgument
    expect: ExpectOption = None
    change_id: ChangeIdOption = ""


@cappa.command(name="config", help="Classes of work and their targets.")
@dataclass
class Config:
    """Groups the commands on the configuration."""

    command: cappa.Subcommands[
        ConfigValidate | ConfigShow | ConfigDiff | ConfigApply
    ]


@cappa.command(name="out", help="Take out of service: no new work.")
@dataclass
class Out:
    """Takes a failure domain or a backend server out of service."""

    name: NameArgument
    expect: ExpectOption = None
    change_id: ChangeIdOption = ""


@cappa.command(name="in", help="Put back into service.")
@dataclass
class In:
    """Puts a failure domain or a backend server back into service."""

    name: NameArgument
    expect: ExpectOption = None
    change_id: ChangeIdOption = ""


@cappa.command(
    name="domain",
    help="Take a failure domain out of service or back in.",
    epilog="Example: mulberrybay domain out kigali-2",
)
@dataclass
class Domain:
    """Groups the commands on failure domains."""

    command: cappa.Subcommands[Out | In]


@cappa.command(
    name="server",
    help="Take a backend server out of service or back in.",
    epilog="Example: mulberrybay server out vm-billing-desk-3",
)
@dataclass
class Server:
    """Groups the commands on backend servers."""

    command: cappa.Subcommands[Out | In]


@cappa.command(
    name="status", help="Show nodes, revisions, holdings and drains."
)
@dataclass
class Status:
    """Shows the state of every node."""

    only: OnlyOption = False


@cappa.command(name="audit", help="Show the newest accepted changes.")
@dataclass
class Audit:
    """Shows the newest accepted changes."""

    count: Annotated[
        int, cappa.Arg(long="--count", help="Number of changes, at most 50.")
    ] = 20


@cappa.command(
    name="burn",
    help="Show each class's burn rates and spent budgets over all nodes.",
    epilog="Example: mulberrybay report burn --html burn.html",
)
@dataclass
class ReportBurn:
    """Shows the service-level burn of all nodes together."""

    html: Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--html", help="Write a page with plots to this file."),
    ] = None
    only: OnlyOption = False


@cappa.command(name="report", help="Reports on service levels.")
@dataclass
class Report:
    """Groups the reports."""

    command: cappa.Subcommands[ReportBurn]


@cappa.command(name="addresses", help="Show the addresses for callers.")
@dataclass
class Addresses:
    """Shows the addresses that nodes advertise to callers."""

    failure_domain: Annotated[
        str,
        cappa.Arg(long="--failure-domain", help="The caller's domain."),
    ] = ""


@cappa.command(
    name="query",
    help="Send a query as a caller.",
    epilog="""Example: mulberrybay query field-search '"valve 7"'""",
)
@dataclass
class Query:
    """Sends a query as a caller."""

    class_name: ClassNameArgument
    body: BodyArgument


@cappa.command(
    name="run",
    help="Send a non-idempotent request as a caller.",
    epilog="""Example: mulberrybay run route-planner '"van 3"'""",
)
@dataclass
class Run:
    """Sends a non-idempotent request as a caller."""

    class_name: ClassNameArgument
    body: BodyArgument
    key: Annotated[
        str,
        cappa.Arg(
            long="--key",
            help="Idempotency key of a request to retry; new by default.",
        ),
    ] = ""


def _split_addresses(text: str) -> list[str]:
    return [part for part in text.replace(",", " ").split() if part]


def _parse_nodes(value: Any) -> list[str]:  # noqa: ANN401
    """Returns the addresses of the environment or of all --node options."""
    texts = [value] if isinstance(value, str) else value
    return [part for text in texts for part in _split_addresses(text)]


@cappa.command(
    name="explain", help="Show the log lines that concern a request."
)
@dataclass
class Explain:
    """Shows the log lines of a request without contacting a node."""

    request_id: Annotated[
        str, cappa.Arg(value_name="ID", help="The request's identity.")
    ]
    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(
            value_name="FILE", num_args=-1, help="The log of a node, in JSON."
        ),
    ]


@cappa.command(
    name="mulberrybay",
    help="Operates the nodes of a query tier.",
    epilog=(
        "Exit codes: 0 done, 1 failed or not accepted, 2 usage or invalid "
        "file, 3 conflict with another change, 4 accepted but not yet in "
        "force everywhere, 5 differences found, 6 not known whether accepted."
    ),
)
@dataclass
class Mulberrybay:
    """Operates the nodes of a query tier."""

    command: cappa.Subcommands[
        Config
        | Domain
        | Server
        | Status
        | Audit
        | Report
        | Addresses
        | Query
        | Run
        | Explain
    ]
    nodes: Annotated[
        list[str],
        cappa.Arg(
            long="--node",
            value_name="HOST:PORT",
            propagate=True,
            action=cappa.ArgAction.append,
            num_args=1,
            parse=_parse_nodes,
            default=cappa.Env("MULBERRYBAY_NODES"),
            help="A node's operator address; may be repeated.",
        ),
    ] = field(default_factory=list)
    token: Annotated[
        str,
        cappa.Arg(
            long="--token",
            propagate=True,
            default=cappa.Env("MULBERRYBAY_TOKEN"),
            show_default=False,
            help="The operators' token; MULBERRYBAY_TOKEN keeps it out of ps.",
        ),
    ] = ""
    operator: Annotated[
        str,
        cappa.Arg(
            long="--operator",
            propagate=True,
            default=cappa.Env("MULBERRYBAY_OPERATOR", "USER"),
            help="Your name, for the audit entries.",
        ),
    ] = ""
    timeout_s: Annotated[
        float,
        cappa.Arg(
            long="--timeout",
            value_name="SECONDS",
            propagate=True,
            help="Time limit for retries and for a change to come into force.",
        ),
    ] = 10.0
    json: JsonOption = False
