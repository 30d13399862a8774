"""Event loop with a virtual clock that advances to the next timer.

Runs are deterministic: the clock stands still while code executes, and timers
fire in the order of their due times.
"""

import asyncio
import selectors

# Maximum number of iterations of a loop before it is considered to hang.
MAX_ITERATIONS = 5_000_000


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("Deadlock: every task waits and no timer is pending.")
        if not ready and timeout:
            self._loop.virtual_now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks in virtual time, in seconds from 0."""

    def __init__(self):
        self.virtual_now = 0.0
        self._iterations = 0
        super().__init__(_VirtualTimeSelector(self))

    def time(self):
        """Return the virtual time in seconds."""
        return self.virtual_now

    def _run_once(self):
        self._iterations += 1
        if self._iterations > MAX_ITERATIONS:
            raise RuntimeError(
                "The event loop ran too many iterations; a task may be spinning."
            )
        super()._run_once()


def run_virtual(coroutine):
    """Run ``coroutine`` on a new virtual loop and return its result."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        pending = asyncio.all_tasks(loop)
        if pending:
            loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        asyncio.set_event_loop(None)
        loop.close()
