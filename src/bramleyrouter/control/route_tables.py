"""The accepted route table: the highest version takes effect.

Functions here are deterministic: every control daemon applies the same
commands in the same order and holds the same state.
"""

from dataclasses import dataclass

from bramleyrouter.control.messages import PublishRoutes
from bramleyrouter.ids import TableVersion


@dataclass
class RouteTables:
    """Hold the table in force; ``document`` is empty before the first one."""

    version: TableVersion = TableVersion(0)
    document: bytes = b""


def publish_routes(tables: RouteTables, command: PublishRoutes) -> bool:
    """Take a table with a higher version; return whether it took effect.

    A lower or an equal version changes nothing, so that neither an old order
    that arrives late nor other content under the version held is ever used.
    """
    if tables.document and command.version <= tables.version:
        return False
    tables.version = command.version
    tables.document = command.document
    return True
