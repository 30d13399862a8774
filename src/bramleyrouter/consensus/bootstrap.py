"""How the first members agree on the initial configuration.

Member ids are random, so the first members must learn each other's before
there is a log. The member with the smallest listed address forms the
configuration once every listed member reports an empty data folder. Each
stores it, and one becomes active (votes, stores entries) only when all of them
report that they stored the same one. Hence a second cluster can only form when
all listed data folders are empty, and a member that lost its disk, which is
told of an active cluster, waits under its new id until it is added.
"""

from bramleyrouter.consensus.entries import MemberRecord
from bramleyrouter.consensus.interfaces import Member


def _form_configuration(
    own: MemberRecord,
    own_address: str,
    reported_records: dict[str, MemberRecord],
    cluster_id: str,
):
    ids = {
        address: member_record.member_id
        for address, member_record in reported_records.items()
    }
    ids[own_address] = own.member_id
    if len(set(ids.values())) < len(ids):
        return None
    members = tuple(Member(ids[address], address) for address in sorted(ids))
    return MemberRecord(own.member_id, cluster_id, members, not reported_records)


def _adopt_configuration(
    own: MemberRecord, own_address: str, addresses: set[str], proposed: MemberRecord
):
    members = proposed.initial_members
    is_listed = Member(own.member_id, own_address) in members
    if not is_listed or {item.address for item in members} != addresses:
        return None
    return MemberRecord(own.member_id, proposed.cluster_id, members)


def compute_next_member_record(
    own: MemberRecord,
    own_address: str,
    first_members: tuple[str, ...],
    reported_records: dict[str, MemberRecord],
    cluster_id: str,
) -> MemberRecord | None:
    """Return what this member must store next, or none to go on waiting.

    ``heard`` maps the addresses of the other first members that answered to
    what they reported; ``cluster_id`` names the cluster if this member forms
    it.
    """
    addresses = set(first_members)
    if own.is_active or own_address not in addresses:
        return None
    if own.cluster_id:
        agreed = (own.cluster_id, own.initial_members)
        agreeing = [
            item
            for item in reported_records.values()
            if (item.cluster_id, item.initial_members) == agreed
        ]
        # One active member shows that all of them stored the configuration.
        is_any_active = any(item.is_active for item in agreeing)
        if is_any_active or len(agreeing) == len(addresses) - 1:
            return MemberRecord(
                own.member_id, own.cluster_id, own.initial_members, True
            )
        return None
    initiator = min(addresses)
    if own_address != initiator:
        proposed = reported_records.get(initiator)
        if proposed is None or not proposed.cluster_id:
            return None
        return _adopt_configuration(own, own_address, addresses, proposed)
    have_all_reported = set(reported_records) == addresses - {own_address}
    if not have_all_reported or any(
        item.cluster_id for item in reported_records.values()
    ):
        return None
    return _form_configuration(own, own_address, reported_records, cluster_id)
