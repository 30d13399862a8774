"""Tests of the state that the controllers of one daemon share."""

from bramleyrouter.board import Board, Section
from tests.support.identities import make_identity


class TestWatchers:
    def test_an_exception_reaches_neither_the_writer_nor_other_watchers(self):
        """Guards against a change that only some controllers hear of."""
        board, heard = Board(make_identity("one")), []

        def fail():
            raise IndexError("odd record")

        board.watch(Section.SERVERS, lambda: heard.append("first"))
        board.watch(Section.SERVERS, fail)
        board.watch(Section.SERVERS, lambda: heard.append("last"))
        board.watch(Section.CONFIG, lambda: heard.append("other section"))
        board.notify_watchers(Section.SERVERS)
        board.notify_watchers(Section.SERVERS)
        assert heard == ["first", "last"] * 2
        assert board.versions[Section.SERVERS] == 2
