"""Answer entry daemons' requests for permits in a control daemon."""

from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from bramleyrouter.control.route_tables import RouteTables
from bramleyrouter.failures import Failure
from bramleyrouter.gateway.tables import RouteTable
from bramleyrouter.ids import TableVersion, TenantName
from bramleyrouter.permits.issuing import (
    Issuer,
    Quota,
    compute_wait,
    divide,
    forget_customers,
    issue,
    may_issue,
    set_membership,
)
from bramleyrouter.permits.messages import (
    PermitGrant,
    PermitReply,
    decode_request,
    encode_message,
)
from bramleyrouter.telemetry.events import RecordEvent
from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.network import Network, Peer


class IssuerFacts(NamedTuple):
    """Bundle what an issuer reads from its own copy of the control log.

    ``get_quotas()`` returns the quotas of customers with a limit, by name.
    """

    own_address: str
    tolerated_losses: int
    list_members: Callable[[], frozenset[str]]
    get_quotas: Callable[[], dict[TenantName, Quota]]


def build_read_quotas(
    get_routes: Callable[[], RouteTables],
    decode_table: Callable[[bytes], Result[RouteTable, Failure]],
) -> Callable[[], dict[TenantName, Quota]]:
    """Return a closure that reads the quotas of the route table in force.

    A table is decoded once, when the first permit is requested under it.
    """
    version: TableVersion | None = None
    quotas: dict[TenantName, Quota] = {}

    def read_quotas() -> dict[TenantName, Quota]:
        nonlocal version, quotas
        routes = get_routes()
        if routes.document and routes.version != version:
            version = routes.version
            table = decode_table(routes.document).ok()
            quotas = {
                item.name: Quota(item.rate_per_s, item.burst)
                for item in (table.customers if table else ())
                if item.rate_per_s
            }
        return quotas

    return read_quotas


def serve_permits(
    network: Network,
    issuer: Issuer,
    facts: IssuerFacts,
    clock: Callable[[], float],
    record: RecordEvent,
) -> Callable[[], None]:
    """Serve requests for permits; return the closure that is to be called regularly.

    It notes when this daemon becomes a member of the log, and frees memory.
    """

    def update() -> None:
        is_member = facts.own_address in facts.list_members()
        was_member = issuer.member_since is not None
        set_membership(issuer, is_member, clock())
        if is_member != was_member:
            wait_s = compute_wait(issuer, clock())
            record("permits", "membership", is_member=is_member, wait_s=wait_s)
        forget_customers(issuer, clock())

    async def handle(peer: Peer, payload: bytes) -> Result[bytes, Failure]:
        decoded = decode_request(payload)
        if isinstance(decoded, Err):
            return decoded
        members, now = facts.list_members(), clock()
        set_membership(issuer, facts.own_address in members, now)
        if not may_issue(issuer, members, now):
            wait_s = compute_wait(issuer, now)
            return Ok(encode_message(PermitReply(wait_s=wait_s)))
        division = divide(len(members), facts.tolerated_losses)
        quotas = facts.get_quotas()
        grants = []
        for name, wanted in decoded.ok_value.wanted:
            quota = quotas.get(name)
            if quota is None:
                grants.append(PermitGrant(is_known=False))
                continue
            issued = issue(issuer, name, quota, division, wanted, now)
            grants.append(PermitGrant(issued.granted, issued.slots, issued.free_in_s))
        return Ok(encode_message(PermitReply(tuple(grants), 0.0)))

    network.serve(MessageKind.ACQUIRE_PERMITS, handle)
    return update
