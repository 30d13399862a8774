"""Let any daemon ask the control daemons how far a revision has come."""

from collections.abc import Callable
from pathlib import Path

import capnp
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.dissemination.interfaces import Rollout as DisseminationRollout
from bramleyrouter.edges.operators.formats import Rollout
from bramleyrouter.failures import Failure
from bramleyrouter.ids import DaemonId, Revision
from bramleyrouter.wire.kinds import Kind
from bramleyrouter.wire.network import Network

ROLLOUT_VERSION = 1
ASK_TIMEOUT_S = 1.0

_SCHEMA = capnp.load(str(Path(__file__).with_name("rollouts.capnp")))


def summarize_rollout(seen: DisseminationRollout, revision: Revision) -> Rollout:
    """Return which daemons have not confirmed ``revision``.

    When it is newer than any that this control daemon knows, all are behind.
    """
    behind = {lag.daemon_id for lag in seen.behind if lag.revision < revision}
    silent = set(seen.silent)
    is_unknown = revision > seen.latest
    count = seen.daemons if is_unknown else seen.behind_count
    if len(seen.behind) == seen.behind_count and not is_unknown:
        count = len(behind)
    return Rollout(
        revision,
        seen.daemons + seen.silent_count,
        count + seen.silent_count,
        tuple(sorted(behind | silent)),
    )


def _decode(type_name: str, payload: bytes) -> Result:
    try:
        with getattr(_SCHEMA, type_name).from_bytes(payload) as message:
            if message.protocolVersion != ROLLOUT_VERSION:
                text = f'Rollout version "{message.protocolVersion}" is not known.'
                return Err(Failure(Code.WIRE_VERSION, text))
            return Ok(message.to_dict())
    except (capnp.KjException, ValueError) as exc:
        return Err(Failure(Code.WIRE_MALFORMED, f"A rollout message: {exc}."))


def serve_rollouts(
    network: Network, rollout: Callable[[], DisseminationRollout]
) -> None:
    """Answer other daemons' questions at a control daemon."""

    async def answer(peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = _decode("RolloutQuestion", payload)
        if isinstance(decoded, Err):
            return decoded
        summary = summarize_rollout(rollout(), Revision(decoded.ok_value["revision"]))
        message = _SCHEMA.RolloutSummary.new_message(
            protocolVersion=ROLLOUT_VERSION,
            revision=summary.revision,
            daemons=summary.daemons,
            behindCount=summary.behind_count,
            behind=list(summary.behind),
        )
        return Ok(message.to_bytes())

    network.serve(Kind.ROLLOUT_SUMMARY, answer)


async def ask_rollout(
    network: Network, control_addresses: tuple[str, ...], revision: Revision
) -> Result[Rollout, Failure]:
    """Ask the control daemons one after the other; return the first answer."""
    question = _SCHEMA.RolloutQuestion.new_message(
        protocolVersion=ROLLOUT_VERSION, revision=revision
    ).to_bytes()
    failure = Failure(Code.PEER_UNREACHABLE, "The settings name no control daemon.")
    for address in control_addresses:
        replied = await network.call(
            address, Kind.ROLLOUT_SUMMARY, question, ASK_TIMEOUT_S
        )
        decoded = replied.and_then(lambda payload: _decode("RolloutSummary", payload))
        if isinstance(decoded, Ok):
            return Ok(_summary_of(decoded.ok_value))
        failure = decoded.err_value
    return Err(failure)


def _summary_of(message: dict) -> Rollout:
    return Rollout(
        Revision(message["revision"]),
        message["daemons"],
        message["behindCount"],
        tuple(DaemonId(name) for name in message["behind"]),
    )
