"""Rendezvous hashing: all daemons compute the same ranking independently.

When a name is removed, only the keys for which it ranked first are reassigned
(Thaler and Ravishankar, 1998).
"""

from collections.abc import Iterable
from hashlib import blake2b


def compute_rendezvous_weight(key: str, name: str) -> bytes:
    """Return the rendezvous weight of ``name`` for ``key``; the largest wins."""
    return blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def rank_by_rendezvous_hash(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` in descending order of their weight for ``key``."""
    return sorted(
        names, key=lambda name: compute_rendezvous_weight(key, name), reverse=True
    )
