"""Serve the rollout: how many daemons have acknowledged the newest revision.

The control daemons collect the acknowledgements, and the leader reports them.
"""

from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import LogStatus
from bramleyrouter.control.capnp_messages import (
    SCHEMA,
    check_length,
    decode_message,
    new_message,
)
from bramleyrouter.control.limits import MAX_NAME_CHARACTERS
from bramleyrouter.dissemination.interfaces import DaemonLag, Rollout
from bramleyrouter.failures import Failure
from bramleyrouter.ids import DaemonId, Revision
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network, Peer

MAX_REQUEST_BYTES = 4096
MAX_ROLLOUT_BYTES = 1024 * 1024


def serve_rollout(
    network: Network, status: Callable[[], LogStatus], rollout: Callable[[], Rollout]
) -> None:
    """Serve ``SHOW_ROLLOUT``; a control daemon that does not lead refuses it."""

    async def serve(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_message(
            SCHEMA.RolloutRequest, payload, MAX_REQUEST_BYTES, lambda message: None
        )
        if isinstance(decoded, Err):
            return decoded
        log_status = status()
        if not log_status.is_leader:
            return Err(Failure(Code.NOT_LEADER, log_status.leader_address))
        return Ok(encode_rollout(rollout()))

    network.serve(MessageKind.SHOW_ROLLOUT, serve)


def encode_rollout_request() -> bytes:
    """Encode the request, which has no fields besides the protocol version."""
    return new_message(SCHEMA.RolloutRequest).to_bytes()


def encode_rollout(rollout: Rollout) -> bytes:
    """Encode the progress of the newest revision."""
    message = new_message(SCHEMA.Rollout)
    message.revision = rollout.revision
    message.latest = rollout.latest
    message.daemons = rollout.daemons
    message.behindCount = rollout.behind_count
    message.silentCount = rollout.silent_count
    message.silent = list(rollout.silent)
    builders = message.init("behind", len(rollout.behind))
    for builder, lag in zip(builders, rollout.behind, strict=True):
        builder.daemonId = lag.daemon_id
        builder.revision = lag.revision
    return message.to_bytes()


def decode_rollout(data: bytes) -> Result[Rollout, Failure]:
    """Decode the progress of the newest revision; fail with a ``WIRE_*`` code."""

    def convert(message: Any) -> Rollout:
        return Rollout(
            Revision(message.revision),
            Revision(message.latest),
            message.daemons,
            tuple(
                DaemonLag(_check_daemon_id(reader.daemonId), Revision(reader.revision))
                for reader in message.behind
            ),
            message.behindCount,
            tuple(_check_daemon_id(daemon_id) for daemon_id in message.silent),
            message.silentCount,
        )

    return decode_message(SCHEMA.Rollout, data, MAX_ROLLOUT_BYTES, convert)


def _check_daemon_id(daemon_id: str) -> DaemonId:
    return DaemonId(check_length(daemon_id, MAX_NAME_CHARACTERS, "daemon_id"))
