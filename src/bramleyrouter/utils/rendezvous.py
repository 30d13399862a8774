"""Choice by rendezvous hashing: every daemon finds the same order by itself.

When a name goes, only what it was the best for moves (Thaler and Ravishankar,
1998).
"""

from collections.abc import Iterable
from hashlib import blake2b


def weight_of(key: str, name: str) -> bytes:
    """Return the rendezvous weight of ``name`` for ``key``; the largest wins."""
    return blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def rank_by_rendezvous_hash(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names``, the best for ``key`` first."""
    return sorted(names, key=lambda name: weight_of(key, name), reverse=True)
