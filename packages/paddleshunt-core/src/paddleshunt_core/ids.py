"""Incarnations of processes and ids of submissions.

A submission id names the only incarnation that may accept it, so no two processes can both accept
the same submission.
"""

import base64
import binascii
from random import Random
from typing import final

import msgspec
import xxhash

MAX_ID_LENGTH = 200
"""Maximum characters of an id; longer texts are refused without being decoded."""

NONCE_BYTES = 8
_CHECK_BYTES = 4


@final
class Incarnation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One run of a process: its host and the boot stamp it took when it started.

    Boot stamps of a host are compared as text; a later start has a greater stamp.
    """

    host: str
    boot: str

    def __str__(self) -> str:
        return f"{self.host}~{self.boot}"


@final
class SubmissionId(msgspec.Struct, frozen=True, array_like=True):
    """Content of an id: its home, the home's clock when it was minted (ms), and a nonce."""

    home: Incarnation
    minted_ms: int
    nonce: bytes


@final
class InvalidId(msgspec.Struct, frozen=True):
    """The text is not a valid submission id: truncated, altered or made up."""

    reason: str


_decoder = msgspec.msgpack.Decoder(SubmissionId)


def boot_stamp(wall_ms: int, rng: Random) -> str:
    """Return a boot stamp for a process that starts at `wall_ms` (milliseconds since 1970)."""
    return f"{wall_ms:011x}{rng.getrandbits(16):04x}"


def mint(home: Incarnation, minted_ms: int, rng: Random) -> str:
    """Return a new submission id that only `home` may accept."""
    nonce = rng.getrandbits(NONCE_BYTES * 8).to_bytes(NONCE_BYTES, "big")
    packed = msgspec.msgpack.encode(SubmissionId(home, minted_ms, nonce))
    return base64.urlsafe_b64encode(packed + _check(packed)).decode().rstrip("=")


def parse_id(text: str) -> SubmissionId | InvalidId:
    """Return the content of the id in `text`, or why it is invalid."""
    if len(text) > MAX_ID_LENGTH:
        return InvalidId(f"longer than {MAX_ID_LENGTH} characters")
    try:
        raw = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        return InvalidId("not URL-safe base64")
    packed, check = raw[:-_CHECK_BYTES], raw[-_CHECK_BYTES:]
    if not packed or _check(packed) != check:
        return InvalidId("check digits do not match")
    try:
        return _decoder.decode(packed)
    except msgspec.MsgspecError:
        return InvalidId("not a submission id")


def _check(packed: bytes) -> bytes:
    return xxhash.xxh32_digest(packed)
