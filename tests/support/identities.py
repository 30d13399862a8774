"""Identities of daemons for tests."""

from bramleyrouter.board.sections import Identity
from bramleyrouter.ids import DaemonId, DaemonIncarnation, DataCentre


def make_identity(name, data_centre="dc1", port=7000, incarnation=1):
    """Build the identity of a daemon on the loopback address."""
    return Identity(
        DaemonId(name),
        DaemonIncarnation(incarnation),
        DataCentre(data_centre),
        f"127.0.0.1:{port}",
        f"127.0.0.1:{port + 1}",
    )
