"""Structured logs with one line for each state change."""

import io
import json
import sys
from datetime import UTC
from typing import Any, TextIO

import logbook


class JsonHandler(logbook.StreamHandler):
    """Writes each record as one line of JSON."""

    def format(self, record: Any) -> str:  # noqa: ANN401
        """Returns the line for a record."""
        document = {
            "at": record.time.replace(tzinfo=UTC).isoformat(),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
            **record.extra,
        }
        return json.dumps(document, default=str)


class ConsoleHandler(logbook.StreamHandler):
    """Writes each record as one line of readable text."""

    def format(self, record: Any) -> str:  # noqa: ANN401
        """Returns the line for a record."""
        fields = " ".join(
            f"{key}={value}" for key, value in record.extra.items() if value
        )
        level = record.level_name.lower()
        at = record.time.strftime("%H:%M:%S.%f")[:-3]
        return f"{at} {level:<7} {record.message}  {fields}".rstrip()


def make_log_handler(
    log_form: str, log_level: str, stream: io.TextIOBase | TextIO | None = None
) -> logbook.StreamHandler:
    """Returns the log handler of a process, a context manager.

    Args:
        log_form: "json" or "console".
        log_level: The lowest level to write, in lower case.
        stream: The output stream; the default is standard error.
    """
    level = logbook.lookup_level(log_level.upper())
    if log_form == "json":
        return JsonHandler(stream or sys.stderr, level=level)
    return ConsoleHandler(stream or sys.stderr, level=level)


class StructuredLog:
    """Logs state changes with named fields such as step and peer."""

    def __init__(self, name: str) -> None:
        self._logger = logbook.Logger(name)

    def info(self, message: str, **fields: object) -> None:
        """Logs an expected state change."""
        self._logger.info(message, extra=fields)

    def warning(self, message: str, **fields: object) -> None:
        """Logs a state change that may need action by operators."""
        self._logger.warning(message, extra=fields)

    def error(self, message: str, **fields: object) -> None:
        """Logs an error in this program."""
        self._logger.error(message, extra=fields)
