"""Formats tables and progress lines for terminals."""

import sys
from collections.abc import Sequence
from typing import TextIO


def format_table(
    headings: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Returns a table with aligned columns; numbers are right-aligned."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[column]) for row in [list(headings), *texts])
        for column in range(len(headings))
    ]
    is_number = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(headings))
    ]
    lines = [
        "  ".join(
            cell.rjust(width) if is_right else cell.ljust(width)
            for cell, width, is_right in zip(
                row, widths, is_number, strict=True
            )
        ).rstrip()
        for row in [list(headings), *texts]
    ]
    return "\n".join(lines)


class ProgressLine:
    """A progress line: rewritten on a terminal, else printed on each change."""

    def __init__(self, stream: TextIO | None = None) -> None:
        """Writes to standard error by default."""
        self._stream = stream or sys.stderr
        self._last_text = ""

    def update(self, text: str) -> None:
        """Replaces the text of the line."""
        if text == self._last_text:
            return
        if self._stream.isatty():
            padding = " " * max(0, len(self._last_text) - len(text))
            self._stream.write(f"\r{text}{padding}")
        else:
            self._stream.write(f"{text}\n")
        self._stream.flush()
        self._last_text = text

    def finish(self) -> None:
        """Ends the line on a terminal."""
        if self._last_text and self._stream.isatty():
            self._stream.write("\n")
            self._stream.flush()
