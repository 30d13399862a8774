"""Bootstrap the cluster: agree on the initial configuration.

There are two ways.

*Predefined.* A process that is told that this is the first start of all, and whose data
folder is empty, stores the initial configuration together with its member id. Ids and
configuration follow from the listed addresses alone, so all first members store the
same one, and a majority of them is enough to go on: one that is late, or whose disk is
lost, is not waited for. A process that is started with an empty folder later never gets
such an id, so a member can't vote twice.

*Exchanged.* Otherwise member ids are random, so the first members must exchange them
before there is a log. The member with the smallest listed address, the initiator,
builds the configuration once every listed member has reported an empty data folder.
Every member stores this configuration.

In both ways a member becomes active (votes and stores entries) only once a majority has
reported that it stored the same configuration. In an exchange the others must have
reported too: a listed member that still has to store the configuration is waited for,
and one whose address reports another id has lost its disk and is not. Hence a second
cluster can form only when all listed data folders are empty. A member that lost its
disk gets reports of an active cluster and waits under its new id until it is added. A
process that is started again meanwhile takes part with the id that its data folder
holds; only the initiator needs to be one of the listed members.
"""

import hashlib
from collections import Counter
from enum import Enum, auto

import msgspec

from bramleyrouter.consensus.entries import MemberRecord
from bramleyrouter.consensus.interfaces import Member
from bramleyrouter.ids import MemberId

_ID_BYTES = 8


def _derive_id(*parts: str) -> str:
    text = " ".join(parts).encode()
    return hashlib.blake2b(text, digest_size=_ID_BYTES).hexdigest()


def build_predefined_record(
    own_address: str, first_members: tuple[str, ...]
) -> MemberRecord:
    """Build the record of a first member in a start that is known to be the first.

    ``own_address`` must be one of ``first_members``.
    """
    addresses = sorted(first_members)
    cluster_id = _derive_id("cluster", *addresses)
    ids = {item: MemberId(_derive_id(cluster_id, item)) for item in addresses}
    members = tuple(Member(ids[item], item) for item in addresses)
    return MemberRecord(ids[own_address], cluster_id, members, is_predefined=True)


def can_predefine(
    own_address: str, first_members: tuple[str, ...], tolerated_losses: int
) -> bool:
    """Return whether a first member may go on without waiting for all others.

    A majority must be more members than may lose their disks, as what it has
    acknowledged would otherwise be lost with them. It must also remain after such a
    loss: otherwise members that never existed could not be told from lost disks.
    """
    count = len(first_members)
    majority = count // 2 + 1
    can_be_told = tolerated_losses < majority <= count - tolerated_losses
    return own_address in first_members and can_be_told


def _build_initial_record(
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
    # A single first member waits for no other, so it is active at once.
    return MemberRecord(own.member_id, cluster_id, members, not reported_records)


def _build_adopted_record(
    own: MemberRecord, own_address: str, reported_records: dict[str, MemberRecord]
) -> MemberRecord | None:
    """Return the record with a configuration that lists this member, if there is one.

    Its initiator has this member's id from this member itself, so it is the same
    bootstrap, even if this process was started again in it with other settings.
    """
    own_member = Member(own.member_id, own_address)
    for _, reported in sorted(reported_records.items()):
        if reported.cluster_id and own_member in reported.initial_members:
            members = reported.initial_members
            return MemberRecord(own.member_id, reported.cluster_id, members)
    return None


class _Outcome(Enum):
    """Name what a report says of one listed member."""

    ACTIVE = auto()
    STORED = auto()
    # The listed id is gone with its disk, or never existed; the member that runs at its
    # address is in no cluster.
    REPLACED = auto()
    PENDING = auto()


def _classify_member(
    own: MemberRecord, listed: Member, reported: MemberRecord | None
) -> _Outcome:
    if reported is None:
        return _Outcome.PENDING
    if reported.is_active and reported.cluster_id == own.cluster_id:
        return _Outcome.ACTIVE
    own_configuration = (own.cluster_id, own.initial_members)
    if (reported.cluster_id, reported.initial_members) == own_configuration:
        return _Outcome.STORED
    if reported.member_id != listed.member_id and not reported.cluster_id:
        return _Outcome.REPLACED
    return _Outcome.PENDING


def _count_outcomes(
    own: MemberRecord, own_address: str, reported_records: dict[str, MemberRecord]
) -> Counter[_Outcome]:
    return Counter(
        _classify_member(own, listed, reported_records.get(listed.address))
        for listed in own.initial_members
        if listed.address != own_address
    )


def _compute_record_with_configuration(
    own: MemberRecord,
    own_address: str,
    reported_records: dict[str, MemberRecord],
    tolerated_losses: int,
) -> MemberRecord | None:
    """Return the next record of an inactive member that stored a configuration."""
    counts = _count_outcomes(own, own_address, reported_records)
    majority = len(own.initial_members) // 2 + 1
    stored = 1 + counts[_Outcome.STORED] + counts[_Outcome.ACTIVE]
    is_waited_for = counts[_Outcome.PENDING] > 0 and not own.is_predefined
    # One active member is proof that a majority has stored the configuration.
    if counts[_Outcome.ACTIVE] or (stored >= majority and not is_waited_for):
        return msgspec.structs.replace(own, is_active=True)
    replaced = counts[_Outcome.REPLACED]
    is_without_majority = len(own.initial_members) - replaced < majority
    if own.is_predefined and is_without_majority and replaced > tolerated_losses:
        # More ids than disks that may be lost, so some of them never existed: their
        # processes were started again before they had a folder. This member isn't
        # active, so no majority has acknowledged anything, and the members that are
        # there exchange their ids instead.
        return MemberRecord(own.member_id, may_initiate=own.may_initiate)
    return None


def compute_survivor_record(
    own: MemberRecord,
    own_address: str,
    reported_records: dict[str, MemberRecord],
    tolerated_losses: int,
) -> MemberRecord | None:
    """Return the record with which an active member goes on alone, or none.

    The predefined configuration must still be in force in this member's log, and all
    other listed ids be replaced. These are more than disks that may be lost, so some of
    them never existed, and those that did were no majority without this member. Hence
    it has stored every acknowledged entry, and no other configuration was agreed on.
    """
    replaced = _count_outcomes(own, own_address, reported_records)[_Outcome.REPLACED]
    are_all_replaced = replaced == len(own.initial_members) - 1
    if not own.is_predefined or not are_all_replaced or replaced <= tolerated_losses:
        return None
    members = tuple(item for item in own.initial_members if item.address == own_address)
    return msgspec.structs.replace(own, initial_members=members)


def list_addresses_to_ask(
    own: MemberRecord, own_address: str, first_members: tuple[str, ...]
) -> list[str]:
    """Return the addresses of the members whose records this member needs next."""
    listed = [item.address for item in own.initial_members] or first_members
    return [address for address in listed if address != own_address]


def compute_next_member_record(
    own: MemberRecord,
    own_address: str,
    first_members: tuple[str, ...],
    reported_records: dict[str, MemberRecord],
    cluster_id: str,
    may_initiate: bool = True,
    tolerated_losses: int = 0,
) -> MemberRecord | None:
    """Return the record that this member must store next, or none to wait.

    ``reported_records`` maps the addresses of the members that replied to the records
    that they reported. ``cluster_id`` becomes the id of the cluster if this member is
    the initiator, which it is only with ``may_initiate``. ``tolerated_losses`` is the
    number of members whose disks may be lost at the same time.
    """
    if own.is_active:
        return None
    if own.cluster_id:
        return _compute_record_with_configuration(
            own, own_address, reported_records, tolerated_losses
        )
    adopted = _build_adopted_record(own, own_address, reported_records)
    if adopted is not None:
        return adopted
    addresses = set(first_members)
    if not may_initiate or own_address != min(addresses, default=None):
        return None
    have_all_reported = set(reported_records) == addresses - {own_address}
    if not have_all_reported or any(
        item.cluster_id for item in reported_records.values()
    ):
        return None
    return _build_initial_record(own, own_address, reported_records, cluster_id)
