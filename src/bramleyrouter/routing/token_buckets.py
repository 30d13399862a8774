"""Token buckets that limit extra sends to a share of the first attempts."""

from dataclasses import dataclass

# Microtokens in one token. Integers keep the sums exact.
MICROTOKENS_PER_TOKEN = 1_000_000


@dataclass
class TokenBucket:
    """Hold microtokens; ``capacity`` limits a burst after an idle time."""

    microtokens_per_attempt: int
    capacity: int
    microtokens: int = 0


def build_token_bucket(share: float, burst: int, is_full: bool = False) -> TokenBucket:
    """Return a bucket that gains ``share`` of a token for each first attempt.

    It holds at most ``burst`` tokens, and starts empty unless ``is_full``.
    """
    capacity = burst * MICROTOKENS_PER_TOKEN
    return TokenBucket(
        int(share * MICROTOKENS_PER_TOKEN), capacity, capacity if is_full else 0
    )


def refill(bucket: TokenBucket, first_attempts: int) -> None:
    """Add the tokens for that many first attempts, up to the capacity."""
    bucket.microtokens = min(
        bucket.capacity,
        bucket.microtokens + first_attempts * bucket.microtokens_per_attempt,
    )


def has_tokens(bucket: TokenBucket, extra_sends: int) -> bool:
    """Return whether the bucket holds the tokens for that many extra sends."""
    return bucket.microtokens >= extra_sends * MICROTOKENS_PER_TOKEN


def try_consume(bucket: TokenBucket, extra_sends: int) -> bool:
    """Consume the tokens for that many extra sends; return False if too few."""
    if not has_tokens(bucket, extra_sends):
        return False
    bucket.microtokens -= extra_sends * MICROTOKENS_PER_TOKEN
    return True


def consume_into_debt(bucket: TokenBucket, extra_sends: int) -> None:
    """Consume the tokens for that many extra sends, also below zero."""
    bucket.microtokens -= extra_sends * MICROTOKENS_PER_TOKEN
