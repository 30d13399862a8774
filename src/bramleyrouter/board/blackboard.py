"""Blackboard: the typed state that the controllers of one daemon share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from absl import logging

from bramleyrouter.board.sections import (
    ConfigView,
    DaemonTable,
    HomeTable,
    Identity,
    LoadTable,
    Readiness,
    ServerTable,
)


class Section(Enum):
    """Identify a section of the blackboard; each has exactly one writer."""

    CONFIG = "config"
    SERVERS = "servers"
    DAEMONS = "daemons"
    HOMES = "homes"
    LOAD = "load"
    READINESS = "readiness"


@dataclass
class Board:
    """Hold the sections, a version counter for each, and their watchers.

    A controller changes a section in place and then calls ``notify_watchers``,
    which increments the section's version and calls its watchers in the order in
    which they were added. Watchers run synchronously, so they must return quickly. An
    exception of a watcher is logged.

    >>> board.watch(Section.CONFIG, lambda: print(board.config.revision))
    >>> board.notify_watchers(Section.CONFIG)
    """

    identity: Identity
    config: ConfigView = field(default_factory=ConfigView)
    servers: ServerTable = field(default_factory=ServerTable)
    daemons: DaemonTable = field(default_factory=DaemonTable)
    homes: HomeTable = field(default_factory=HomeTable)
    load: LoadTable = field(default_factory=LoadTable)
    readiness: Readiness = field(default_factory=Readiness)
    versions: dict[Section, int] = field(
        default_factory=lambda: dict.fromkeys(Section, 0)
    )
    _watchers: dict[Section, list[Callable[[], None]]] = field(
        default_factory=lambda: {section: [] for section in Section}
    )

    def watch(self, section: Section, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of ``section``."""
        self._watchers[section].append(callback)

    def notify_watchers(self, section: Section) -> None:
        """Increment the version of ``section`` and call its watchers.

        Only the section's writer calls this, after each change.
        """
        self.versions[section] += 1
        for callback in self._watchers[section]:
            try:
                callback()
            except Exception:
                # The writer and the other watchers have no part in it, and the writer
                # would leave the rest of its work undone.
                logging.exception("board: a watcher of %s failed.", section.value)
