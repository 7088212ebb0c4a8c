"""The record that makes a non-idempotent request run at most once.

The record is an object of the platform's store, named by class and
idempotency key and created on condition that it does not exist. Only the node
whose token stands in a pending record may dispatch, once.
"""

import hashlib
from typing import Final, NamedTuple

from mulberrybay_core.errors import RunState

MAX_KEY_AGE_S: Final = 3600.0
# Longer than any clock of a node is ahead of another's.
RECORD_LIFE_S: Final = 2 * MAX_KEY_AGE_S
MAX_KEY_LEAD_S: Final = 60.0
MAX_KEY_LENGTH: Final = 128
MIN_RANDOM_LENGTH: Final = 8
MAX_STORED_RESULT_BYTES: Final = 8 * 1024

# The store lists whole kinds only, so the records are spread over a ring of
# kinds by the time in their keys: each list is short, and a kind is swept
# before the ring comes back to it.
SLOT_LENGTH_S: Final = 5
SLOT_COUNT: Final = 1536


class RunRecord(NamedTuple):
    """The state of one non-idempotent request.

    Attributes:
        token: Unique identity of the try that may dispatch.
        body_digest: Tells a repeat from another request with the same key.
        state: UNKNOWN while pending.
        created_at_s: Unix time.
        result_json: What the backend server answered, once it ran; empty if
            that is longer than MAX_STORED_RESULT_BYTES.
    """

    token: str
    body_digest: str
    state: RunState
    created_at_s: float
    result_json: str = ""


class StoredRecord(NamedTuple):
    """A record and its version in the store."""

    version: int
    record: RunRecord


def digest_body(body: bytes) -> str:
    """Returns the digest of a request's body."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def storable_result(result_json: str) -> str:
    """Returns a result as the record keeps it; empty if it is too long."""
    is_small = len(result_json.encode()) <= MAX_STORED_RESULT_BYTES
    return result_json if is_small else ""


def read_key_time_s(idempotency_key: str) -> int:
    """Returns the Unix time in a key that `check_key` has passed."""
    return int(idempotency_key.partition("-")[0])


def slot_of(unix_s: float) -> int:
    """Returns the number of the time slot that a Unix time lies in."""
    return int(unix_s) // SLOT_LENGTH_S


def slot_kind(slot: int) -> str:
    """Returns the kind of the records whose keys are of a time slot."""
    return f"run-records-{slot % SLOT_COUNT:04d}"


def record_kind(idempotency_key: str) -> str:
    """Returns the kind of a key's record."""
    return slot_kind(slot_of(read_key_time_s(idempotency_key)))


def record_name(class_name: str, idempotency_key: str) -> str:
    """Returns the name of the record's object."""
    return f"{class_name}:{idempotency_key}"


def is_expired(name: str, unix_now_s: float) -> bool:
    """Returns whether the record of this name has no reader any more."""
    idempotency_key = name.rpartition(":")[2]
    seconds_text = idempotency_key.partition("-")[0]
    if not (seconds_text.isascii() and seconds_text.isdigit()):
        return False
    return int(seconds_text) + RECORD_LIFE_S < unix_now_s


def check_key(idempotency_key: str, unix_now_s: float) -> str | None:
    """Checks a key: Unix seconds, a hyphen, eight random characters or more.

    The time in the key lets old records expire: a key older than
    MAX_KEY_AGE_S is refused, so its record is not needed any more.

    Returns:
        What is wrong, or None.
    """
    seconds_text, separator, random_text = idempotency_key.partition("-")
    if len(idempotency_key) > MAX_KEY_LENGTH:
        return f"the key is longer than {MAX_KEY_LENGTH} characters"
    if not separator or not (seconds_text.isascii() and seconds_text.isdigit()):
        return "the key is not UNIX_SECONDS-RANDOM"
    is_plain = random_text.isascii() and random_text.replace("-", "").isalnum()
    if len(random_text) < MIN_RANDOM_LENGTH or not is_plain:
        return f"the key needs {MIN_RANDOM_LENGTH} letters or digits at the end"
    age_s = unix_now_s - int(seconds_text)
    if age_s > MAX_KEY_AGE_S:
        return f"the key is older than {MAX_KEY_AGE_S:.0f} s"
    if age_s < -MAX_KEY_LEAD_S:
        return f"the key lies more than {MAX_KEY_LEAD_S:.0f} s in the future"
    return None
