"""The errors of decoding values that come from outside."""

from typing import Final

# What a value of another type, out of range or nested too deeply may raise.
DECODE_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
