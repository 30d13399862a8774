"""Token buckets that bound extra requests by a share of the first ones."""

from dataclasses import dataclass

# Tokens are counted in whole millionths, so that sums stay exact.
MICRO = 1_000_000


@dataclass
class Bucket:
    """Hold tokens in millionths; ``cap`` bounds a burst after a quiet time."""

    per_request: int
    cap: int
    tokens: int = 0


def build_bucket(share: float, burst: int, is_full: bool = False) -> Bucket:
    """Return a bucket that earns ``share`` of a token for each first request."""
    cap = burst * MICRO
    return Bucket(int(share * MICRO), cap, cap if is_full else 0)


def earn(bucket: Bucket, requests: int) -> None:
    """Add what ``requests`` first requests allow."""
    bucket.tokens = min(bucket.cap, bucket.tokens + requests * bucket.per_request)


def can_spend(bucket: Bucket, extra: int) -> bool:
    """Return whether ``extra`` further requests are within the budget."""
    return bucket.tokens >= extra * MICRO


def spend(bucket: Bucket, extra: int) -> bool:
    """Take the tokens of ``extra`` requests if all are there."""
    if not can_spend(bucket, extra):
        return False
    bucket.tokens -= extra * MICRO
    return True


def charge(bucket: Bucket, extra: int) -> None:
    """Take the tokens of requests that were sent, even into debt."""
    bucket.tokens -= extra * MICRO
