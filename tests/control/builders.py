"""Builders of commands for tests of the control daemons."""

from bramleyrouter.board.sections import Manifest, ServiceSpec
from bramleyrouter.control.messages import Claim, Publish, SetAvailability, Settle
from bramleyrouter.states import Outcome

NOW_MS = 1_764_843_456_789
DAY_MS = 24 * 3600 * 1000


def make_manifest(generation=1, shards=("s1", "s2"), versions=("v1",)):
    return Manifest(generation, (ServiceSpec("lookup", shards, versions),))


def make_publish(request_id="r1", operator="anna", generation=1, **manifest_fields):
    return Publish(request_id, operator, make_manifest(generation, **manifest_fields))


def make_availability(request_id="r1", operator="anna", is_out=True, **target):
    return SetAvailability(
        request_id, operator, is_out, **(target or {"data_centre": "dc1"})
    )


def make_claim(token=b"t1", request_id=f"{NOW_MS}-a", body=b"body", claimant="e1"):
    return Claim("tenant", request_id, body, claimant, 1, token)


def make_settle(
    token=b"t1", outcome=Outcome.DONE, request_id=f"{NOW_MS}-a", answer=b"", code=0
):
    return Settle("tenant", request_id, token, outcome, code, answer)
