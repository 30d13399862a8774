"""Measure the cost of the control daemons' state machine.

Run as ``python -m bramleyrouter.measure.machine_cost``. Figures are processor
time and resident memory of one process that applies commands without a log.
"""

import json
import resource
import time

from bramleyrouter.board.sections import Manifest, ServiceSpec
from bramleyrouter.control.codecs import LogCommand, encode_command
from bramleyrouter.control.limits import MAX_LEDGER_RECORDS
from bramleyrouter.control.messages import Claim, Publish, SetAvailability, Settle
from bramleyrouter.control.state_machine import (
    ControlStateMachine,
    build_control_state_machine,
)
from bramleyrouter.ids import (
    DaemonId,
    DaemonIncarnation,
    DataCentre,
    Generation,
    IndexVersion,
    LogIndex,
    OperatorRequestId,
    RequestId,
    ServiceName,
    ShardName,
    TenantName,
)
from bramleyrouter.states import Outcome

NOW_MS = 1_764_843_456_789
TENANT = TenantName("default")
ANSWER = b"x" * 200
SETTLES_PER_ENTRY = 50
# 28,500 shards, each held by two of 57,000 replicas.
SERVICES, SHARDS_PER_SERVICE = 50, 570
MICROSECONDS, MILLISECONDS = 1e6, 1e3
KIB_PER_MIB = 1024
MIB = 1024 * 1024


def _request_id(number: int) -> RequestId:
    return RequestId(f"{NOW_MS}-{number:016x}")


def _token(number: int) -> bytes:
    return number.to_bytes(16, "big")


def _claim(number: int) -> Claim:
    return Claim(
        TENANT,
        _request_id(number),
        b"d" * 16,
        DaemonId("entry-1"),
        DaemonIncarnation(1),
        _token(number),
    )


def _settle(number: int) -> Settle:
    request_id, token = _request_id(number), _token(number)
    return Settle(TENANT, request_id, token, Outcome.DONE, 0, ANSWER)


def _make_manifest() -> Manifest:
    services = tuple(
        ServiceSpec(
            ServiceName(f"service-{number}"),
            tuple(
                ShardName(f"shard-{number}-{shard}")
                for shard in range(SHARDS_PER_SERVICE)
            ),
            (IndexVersion("v1"), IndexVersion("v2")),
        )
        for number in range(SERVICES)
    )
    return Manifest(Generation(1), services)


def _apply_all(machine: ControlStateMachine, commands: list[bytes]) -> float:
    """Return the seconds of processor time."""
    started = time.process_time()
    for command in commands:
        machine.for_log.apply(LogIndex(1), NOW_MS, command)
    return time.process_time() - started


def _apply_one(machine: ControlStateMachine, command: LogCommand) -> float:
    return _apply_all(machine, [encode_command(command)])


def measure_ledger(machine: ControlStateMachine) -> dict[str, float]:
    """Fill the ledger; return the cost of a claim and of a settlement."""
    count = MAX_LEDGER_RECORDS
    claims = [encode_command(_claim(number)) for number in range(count)]
    settles = [
        encode_command(
            tuple(_settle(first + number) for number in range(SETTLES_PER_ENTRY))
        )
        for first in range(0, count, SETTLES_PER_ENTRY)
    ]
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    claiming = _apply_all(machine, claims)
    settling = _apply_all(machine, settles)
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {
        "records": count,
        "claim_us": claiming / count * MICROSECONDS,
        "settle_us": settling / count * MICROSECONDS,
        "ledger_mib": (after - before) / KIB_PER_MIB,
    }


def measure_snapshot(machine: ControlStateMachine) -> dict[str, float]:
    """Return the cost of a snapshot of all and of its restoration."""
    started = time.process_time()
    snapshot = machine.for_log.snapshot()
    encoded = time.process_time()
    build_control_state_machine().for_log.restore(snapshot)
    restored = time.process_time()
    return {
        "snapshot_ms": (encoded - started) * MILLISECONDS,
        "restore_ms": (restored - encoded) * MILLISECONDS,
        "snapshot_mib": len(snapshot) / MIB,
    }


def measure_configuration(machine: ControlStateMachine) -> dict[str, float]:
    """Return the cost of a publication and of a change of availability."""
    publish = Publish(OperatorRequestId("r1"), "anna", _make_manifest())
    out = SetAvailability(
        OperatorRequestId("r2"), "anna", True, data_centre=DataCentre("dc1")
    )
    return {
        "manifest_mib": len(encode_command(publish)) / MIB,
        "publish_ms": _apply_one(machine, publish) * MILLISECONDS,
        "out_ms": _apply_one(machine, out) * MILLISECONDS,
    }


def main() -> None:
    """Print the figures as JSON."""
    machine = build_control_state_machine()
    figures = {
        **measure_ledger(machine),
        **measure_configuration(machine),
        **measure_snapshot(machine),
    }
    print(json.dumps({name: round(value, 2) for name, value in figures.items()}))


if __name__ == "__main__":
    main()
