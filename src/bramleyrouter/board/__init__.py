"""Blackboard: typed state that the controllers of one daemon share."""

from bramleyrouter.board.blackboard import Board, Section

__all__ = ["Board", "Section"]
