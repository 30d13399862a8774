"""Token buckets that bound extra requests by a share of the first ones."""

from dataclasses import dataclass

# Tokens are counted in whole millionths, so that sums stay exact.
MICROTOKENS = 1_000_000


@dataclass
class TokenBucket:
    """Hold tokens in millionths; ``cap`` bounds a burst after a quiet time."""

    microtokens_per_request: int
    capacity: int
    microtokens: int = 0


def build_token_bucket(share: float, burst: int, is_full: bool = False) -> TokenBucket:
    """Return a bucket that earns ``share`` of a token for each first request."""
    capacity = burst * MICROTOKENS
    return TokenBucket(int(share * MICROTOKENS), capacity, capacity if is_full else 0)


def refill(bucket: TokenBucket, requests: int) -> None:
    """Add what ``requests`` first requests allow."""
    bucket.microtokens = min(
        bucket.capacity, bucket.microtokens + requests * bucket.microtokens_per_request
    )


def has_tokens(bucket: TokenBucket, extra: int) -> bool:
    """Return whether ``extra`` further requests are within the budget."""
    return bucket.microtokens >= extra * MICROTOKENS


def try_consume(bucket: TokenBucket, extra: int) -> bool:
    """Take the tokens of ``extra`` requests if all are there."""
    if not has_tokens(bucket, extra):
        return False
    bucket.microtokens -= extra * MICROTOKENS
    return True


def consume_into_debt(bucket: TokenBucket, extra: int) -> None:
    """Take the tokens of requests that were sent, even into debt."""
    bucket.microtokens -= extra * MICROTOKENS
