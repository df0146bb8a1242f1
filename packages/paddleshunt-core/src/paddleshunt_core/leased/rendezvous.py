"""Rendezvous hashing: places in an order of choice that all processes work out alike."""

from xxhash import xxh64_intdigest


def rendezvous_rank(chooser: str, candidate: str) -> int:
    """Return a candidate's place in a chooser's order of choice; less goes first."""
    return xxh64_intdigest(f"{chooser}\n{candidate}".encode())
