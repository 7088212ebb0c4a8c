"""What the machine of a node allows its process to use."""

from typing import Final, NamedTuple


class MachineLimits(NamedTuple):
    """What the machine allows the process to use.

    The defaults are those of the smallest machine that nodes run on.

    Attributes:
        memory_mb: The memory, in MB.
        max_descriptors: The descriptors, 200 of which are for files.
    """

    memory_mb: float = 160.0
    max_descriptors: int = 4_100


DEFAULT_MACHINE_LIMITS: Final = MachineLimits()
