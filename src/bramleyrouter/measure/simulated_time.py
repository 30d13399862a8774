"""An event loop whose clock jumps to the next timer instead of waiting.

Trials of decisions run in simulated time: their figures then depend on the
decisions and the seed, and not on what else the machine does.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):
    now_s = 0.0

    def select(self, timeout: float | None = None):
        """Return what is ready; let the time that would be waited pass."""
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Count the seconds since the loop was made, without waiting for them."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._jumping.now_s


def run_simulated(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` to its end on a new simulated loop."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main)
