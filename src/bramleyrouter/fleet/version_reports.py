"""Counts of answers by server version, which entry daemons report to the leader.

They handle a load pattern of few answers: a version under trial gets one or two a
second, so each is counted by route and by moment, to be compared with the answers that
other versions gave on the same route at the same time.
"""

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import MAX_NAME_CHARACTERS, Name, VersionNumber
from bramleyrouter.ids import ServiceName
from bramleyrouter.utils.decoding import DECODE_ERRORS

# Ratio of the bounds of a latency bucket, and number of buckets; they cover latencies
# from ``FIRST_BOUND_S`` to about a minute.
BUCKET_RATIO = 1.2
FIRST_BOUND_S = 0.001
BUCKETS = 60
# Number of moments into which the duration of a rollout is divided, each of at least
# ``MIN_MOMENT_S`` seconds.
MOMENTS = 16
MIN_MOMENT_S = 1.0
# Largest number of cells in one report; answers beyond it are not counted.
MAX_CELLS = 1024

Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
Bucket = Annotated[int, msgspec.Meta(ge=0, lt=BUCKETS)]


class Cell(msgspec.Struct, array_like=True):
    """Count answers on one route in one moment, of the trial's version or the others.

    ``latencies`` maps buckets to counts. Failures are counted only in ``errors``.
    """

    is_trial: bool
    route: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
    moment: Annotated[int, msgspec.Meta(ge=0, le=MOMENTS)]
    errors: Count = 0
    latencies: dict[Bucket, Count] = {}


class VersionReport(msgspec.Struct, frozen=True, array_like=True):
    """Hold the cumulative counts of one rollout since a daemon's start.

    ``start`` identifies that start among those of the daemon.
    """

    start: VersionNumber
    service: Name
    sequence: VersionNumber
    cells: tuple[Cell, ...]


_DECODER = msgspec.msgpack.Decoder(tuple[VersionReport, ...])


def find_bucket(latency_s: float) -> int:
    """Return the bucket of a latency in seconds."""
    if latency_s <= FIRST_BOUND_S:
        return 0
    bucket = math.ceil(math.log(latency_s / FIRST_BOUND_S) / math.log(BUCKET_RATIO))
    return min(bucket, BUCKETS - 1)


def find_moment(elapsed_s: float, duration_s: float) -> int:
    """Return the moment of a rollout in which an answer arrived."""
    length_s = max(MIN_MOMENT_S, duration_s / MOMENTS)
    return max(0, min(int(elapsed_s / length_s), MOMENTS))


def encode_reports(reports: Iterable[VersionReport]) -> bytes:
    """Encode the reports of one daemon as MessagePack."""
    return msgspec.msgpack.encode(tuple(reports))


def decode_reports(payload: bytes) -> Result[tuple[VersionReport, ...], Failure]:
    """Decode the reports of one daemon; fail with ``WIRE_MALFORMED``."""
    try:
        return Ok(_DECODER.decode(payload))
    except DECODE_ERRORS as exc:
        text = f"The version reports can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))


ReportKey = tuple[ServiceName, int]
