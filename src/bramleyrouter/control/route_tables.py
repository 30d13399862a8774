"""The replicated route table: the highest version takes effect.

The functions are deterministic: every control daemon applies the same commands
in the same order and must arrive at the same state.
"""

from dataclasses import dataclass, field

from bramleyrouter.control.messages import PublishRoutes
from bramleyrouter.ids import TableVersion


@dataclass
class RouteTables:
    """Hold the table in force; ``document`` is empty before the first one.

    It may hold keys of customers, so that no text shows it.
    """

    version: TableVersion = TableVersion(0)
    document: bytes = field(default=b"", repr=False)


def publish_routes(tables: RouteTables, command: PublishRoutes) -> bool:
    """Apply a table with a higher version; return whether it took effect.

    A lower or equal version is ignored, so that neither a delayed old request nor
    different content under the current version can replace the table.
    """
    if tables.document and command.version <= tables.version:
        return False
    tables.version = command.version
    tables.document = command.document
    return True
