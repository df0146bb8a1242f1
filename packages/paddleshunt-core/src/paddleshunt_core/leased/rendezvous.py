"""Rendezvous hashing: a ranking of candidates that all processes compute alike."""

from xxhash import xxh64_intdigest


def rendezvous_rank(chooser: str, candidate: str) -> int:
    """Return a candidate's rank for a chooser; lower ranks are preferred."""
    return xxh64_intdigest(f"{chooser}\n{candidate}".encode())
