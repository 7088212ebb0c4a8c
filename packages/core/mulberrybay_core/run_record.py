"""The record that ensures that a non-idempotent request runs at most once.

The record is an object in the platform's store, named by class and
idempotency key, and created only if it does not exist. Only the run whose
token is in the pending record may be dispatched, once.
"""

import hashlib
from typing import Final, NamedTuple

from mulberrybay_core.errors import RunState

MAX_KEY_AGE_S: Final = 3600.0
# A record outlives its key by MAX_KEY_AGE_S, which is more than the difference
# between any two nodes' clocks.
RECORD_RETENTION_S: Final = 2 * MAX_KEY_AGE_S
MAX_KEY_LEAD_S: Final = 60.0
MAX_KEY_LENGTH: Final = 128
MIN_RANDOM_LENGTH: Final = 8
MAX_STORED_RESULT_BYTES: Final = 8 * 1024

# The store can list only all objects of a kind. To keep the lists short, the
# records are spread over SLOT_COUNT kinds by the time in their keys. A kind is
# reused only after its expired records have been deleted.
SLOT_LENGTH_S: Final = 5
SLOT_COUNT: Final = 1536


class RunRecord(NamedTuple):
    """The state of one non-idempotent request.

    Attributes:
        token: Unique ID of the run that may be dispatched.
        body_digest: Digest of the request's body, to distinguish a retry from
            another request with the same key.
        state: The outcome; UNKNOWN while the record is pending.
        created_at_s: Unix time.
        result_json: The backend server's result, if the request ran; empty if
            it is longer than MAX_STORED_RESULT_BYTES.
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
    """Returns the digest of a request's body as hexadecimal text."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def storable_result(result_json: str) -> str:
    """Returns the result to store in a record; empty if it is too long."""
    fits = len(result_json.encode()) <= MAX_STORED_RESULT_BYTES
    return result_json if fits else ""


def read_key_time_s(idempotency_key: str) -> int:
    """Returns the Unix time in a key that passed `check_key`."""
    return int(idempotency_key.partition("-")[0])


def slot_of(unix_s: float) -> int:
    """Returns the number of the time slot that contains a Unix time."""
    return int(unix_s) // SLOT_LENGTH_S


def slot_kind(slot: int) -> str:
    """Returns the kind of the records whose keys are from a time slot."""
    return f"run-records-{slot % SLOT_COUNT:04d}"


def record_kind(idempotency_key: str) -> str:
    """Returns the kind of a key's record."""
    return slot_kind(slot_of(read_key_time_s(idempotency_key)))


def record_name(class_name: str, idempotency_key: str) -> str:
    """Returns the name of the object that stores the record."""
    return f"{class_name}:{idempotency_key}"


def is_expired(name: str, unix_now_s: float) -> bool:
    """Returns whether the record with this name can be deleted.

    Its key is then refused because of its age, so the record is not read again.
    """
    idempotency_key = name.rpartition(":")[2]
    seconds_text = idempotency_key.partition("-")[0]
    if not (seconds_text.isascii() and seconds_text.isdigit()):
        return False
    return int(seconds_text) + RECORD_RETENTION_S < unix_now_s


def check_key(idempotency_key: str, unix_now_s: float) -> str | None:
    """Validates a key: Unix seconds, a hyphen, and random characters.

    There must be at least eight random characters. The time in the key allows
    old records to be deleted: a key older than MAX_KEY_AGE_S is refused, so
    its record is no longer needed.

    Returns:
        The reason why the key is invalid, or None.
    """
    seconds_text, separator, random_text = idempotency_key.partition("-")
    if len(idempotency_key) > MAX_KEY_LENGTH:
        return f"the key is longer than {MAX_KEY_LENGTH} characters"
    if not separator or not (seconds_text.isascii() and seconds_text.isdigit()):
        return "the key does not have the form UNIX_SECONDS-RANDOM"
    is_alphanumeric = (
        random_text.isascii() and random_text.replace("-", "").isalnum()
    )
    if len(random_text) < MIN_RANDOM_LENGTH or not is_alphanumeric:
        return (
            f"the key must end in {MIN_RANDOM_LENGTH} or more letters or digits"
        )
    age_s = unix_now_s - int(seconds_text)
    if age_s > MAX_KEY_AGE_S:
        return f"the key is older than {MAX_KEY_AGE_S:.0f} s"
    if age_s < -MAX_KEY_LEAD_S:
        return f"the key is more than {MAX_KEY_LEAD_S:.0f} s in the future"
    return None
