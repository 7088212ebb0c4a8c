"""Status lines of replies that can't be used, for tests of all paths."""

from typing import Final

# A reply is used only if its status is 200 to 599.
UNUSABLE_STATUS_LINES: Final = (
    b"HTTP/1.1 000 Zero",
    b"HTTP/1.1 000",
    b"HTTP/1.1 007 Seven",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 600 High",
    b"HTTP/1.1 999 Highest",
    b"HTTP/1.1 20 Two digits",
    b"HTTP/1.1 2000 Four digits",
    b"HTTP/1.1 -200 Negative",
    b"HTTP/1.1 abc Not a number",
    b"HTTP/1.1  OK",
)
USABLE_STATUS_LINES: Final = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK",
)
