"""Decode the orders of canary rollouts, and format what operators read of one."""

import math

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.control.messages import StartRollout
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.rollout_records import (
    MAX_DURATION_S,
    RequiredName,
    RolloutState,
    VersionRollout,
)
from bramleyrouter.utils.decoding import DECODE_ERRORS


class _Order(msgspec.Struct, rename="camel"):
    service: RequiredName
    to_version: RequiredName
    duration_s: float


_ORDER_DECODER = msgspec.json.Decoder(_Order)


def decode_order(body: bytes) -> Result[StartRollout, Failure]:
    """Decode an order; fail with ``INVALID_ROLLOUT``.

    A time limit beyond ``MAX_DURATION_S`` seconds is shortened to it.
    """
    try:
        order = _ORDER_DECODER.decode(body)
    except DECODE_ERRORS as exc:
        text = f"The order can't be read: {exc}."
        return Err(Failure(Code.INVALID_ROLLOUT, text))
    if not (math.isfinite(order.duration_s) and order.duration_s > 0):
        text = f'The duration "{order.duration_s}" is not a positive number of seconds.'
        return Err(Failure(Code.INVALID_ROLLOUT, text))
    duration_s = min(order.duration_s, MAX_DURATION_S)
    return Ok(StartRollout(order.service, order.to_version, duration_s))


def format_rollout(rollout: VersionRollout) -> bytes:
    """Format the state of a rollout; its last phase is shown as active."""
    state = RolloutState.ACTIVE if rollout.is_open else rollout.state
    body = {"state": state.value, "toVersion": rollout.version}
    return msgspec.json.encode(body)
