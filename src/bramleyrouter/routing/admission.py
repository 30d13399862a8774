"""Early refusal of what can't be done in time, and fair waiting for the rest."""

import asyncio
from collections import Counter, OrderedDict, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.conf.settings import ClassSettings, Settings, TenantSettings
from bramleyrouter.failures import Failure
from bramleyrouter.ids import ClassName, TenantName
from bramleyrouter.routing.limits import Limit, build_limit, note_running
from bramleyrouter.routing.messages import Query, Submission

# Share of the time left, beyond a usual run, that a request may be expected to
# wait; more would turn every wait into a race with its deadline.
MAX_WAIT_SHARE = 0.5
# Weight of one run in the moving average of how long runs take.
RUN_WEIGHT = 0.05
# Classes that the settings don't name wait together under this name.
OTHER_CLASSES = ClassName("")

Request = Query | Submission
# Gives a place back; its argument says whether a request was shed or timed out.
Release = Callable[[bool], None]


@dataclass(eq=False, slots=True)
class Waiter:
    """Hold one waiting request; ``start`` takes its place and ends its wait."""

    tenant: TenantName
    class_name: ClassName
    start: Callable[[], None]


@dataclass
class ClassQueue:
    """Hold the waiters of one class by tenant.

    ``virtual_time`` grows by 1 / weight with each start; the class with the
    least one is next (start-time fair queueing).
    """

    weight: int
    virtual_time: float = 0.0
    waiting: int = 0
    tenants: OrderedDict[TenantName, deque[Waiter]] = field(default_factory=OrderedDict)


@dataclass
class AdmissionState:
    """Hold what runs and waits; ``run_s`` is how long runs take, on average.

    ``credit`` sums the fractions of the limit, which give an extra place to one
    start out of several.
    """

    limit: Limit
    max_waiting: int
    running: int = 0
    waiting: int = 0
    run_s: float = 0.0
    credit: float = 0.0
    has_extra_place: bool = False
    virtual_time: float = 0.0
    running_by_tenant: Counter = field(default_factory=Counter)
    waiting_by_tenant: Counter = field(default_factory=Counter)
    classes: dict[ClassName, ClassQueue] = field(default_factory=dict)


class Admission(NamedTuple):
    """Bundle the closures over one state.

    ``admit(request)`` waits for a place and returns the closure that gives it
    back, or says at once why there is none. ``is_overloaded()`` says whether
    requests wait or the servers were overloaded within the last second.
    """

    admit: Callable[[Request], Awaitable[Result[Release, Failure]]]
    is_overloaded: Callable[[], bool]
    state: AdmissionState


def build_admission(cfg: Settings, clock: Callable[[], float]) -> Admission:
    """Return the admission of a daemon that runs nothing yet."""
    limit = build_limit(cfg.max_running_queries, clock())
    state = AdmissionState(limit, cfg.max_waiting_queries)

    async def admit(req: Request) -> Result[Release, Failure]:
        left = req.deadline - clock()
        if left <= 0:
            return Err(_failure(state, Code.DEADLINE_PASSED))
        if can_start(state, req.tenant, _tenant_share(cfg, req.tenant)):
            return Ok(_take_place(state, cfg, clock, req.tenant))
        code = check_wait(state, cfg, req.tenant, req.class_name, left)
        if code is not Code.OK:
            return Err(_failure(state, code))
        return await wait_for_place(req, left)

    async def wait_for_place(req: Request, left: float) -> Result[Release, Failure]:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Result[Release, Failure]] = loop.create_future()

        def start() -> None:
            # A cancelled caller leaves its future cancelled until it wakes up.
            if not future.done():
                future.set_result(Ok(_take_place(state, cfg, clock, req.tenant)))

        def give_up() -> None:
            if not future.done():
                future.set_result(Err(_failure(state, Code.QUEUE_DEADLINE)))

        waiter = Waiter(req.tenant, _class_name(cfg, req.class_name), start)
        timer = loop.call_later(max(0.0, left - state.run_s), give_up)
        add(state, cfg, waiter)
        pump(state, cfg)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result().is_ok():
                future.result().unwrap()(False)
            raise
        finally:
            timer.cancel()
            remove(state, waiter)

    def is_overloaded() -> bool:
        return state.waiting > 0 or clock() < state.limit.overloaded_until

    return Admission(admit, is_overloaded, state)


def can_start(state: AdmissionState, tenant: TenantName, share: float) -> bool:
    """Return whether a request of ``tenant`` may start ahead of nobody."""
    return (
        state.waiting == 0
        and state.running < _running_places(state)
        and state.running_by_tenant[tenant] < _places(state, share)
    )


def check_wait(
    state: AdmissionState,
    cfg: Settings,
    tenant: TenantName,
    class_name: ClassName,
    left_s: float,
) -> Code:
    """Return OK when a request may wait, or why it is refused at once.

    The expected wait is the requests ahead in its class times the usual run,
    over the places that its class gets among those that wait.
    """
    if left_s <= 0:
        return Code.DEADLINE_PASSED
    share = _tenant_share(cfg, tenant)
    held = state.running_by_tenant[tenant] + state.waiting_by_tenant[tenant]
    if share < 1 and held >= share * (state.limit.value + state.max_waiting):
        return Code.TENANT_LIMIT
    if state.waiting >= state.max_waiting:
        return Code.OVERLOADED
    name = _class_name(cfg, class_name)
    weight = _class_settings(cfg, name).weight
    others = sum(
        queue.weight
        for other, queue in state.classes.items()
        if queue.waiting and other != name
    )
    ahead = state.classes[name].waiting if name in state.classes else 0
    places = max(1.0, state.limit.value * weight / (weight + others))
    wait_s = (ahead + 1) * state.run_s / places
    if wait_s > MAX_WAIT_SHARE * (left_s - state.run_s):
        return Code.OVERLOADED
    return Code.OK


def add(state: AdmissionState, cfg: Settings, waiter: Waiter) -> None:
    """Put a waiter at the end of its tenant's queue in its class."""
    queue = state.classes.get(waiter.class_name)
    if queue is None:
        weight = _class_settings(cfg, waiter.class_name).weight
        queue = state.classes[waiter.class_name] = ClassQueue(weight)
    if not queue.waiting:
        # An idle class earns no credit for the time in which it had no waiter.
        queue.virtual_time = max(queue.virtual_time, state.virtual_time)
    queue.tenants.setdefault(waiter.tenant, deque()).append(waiter)
    queue.waiting += 1
    state.waiting += 1
    state.waiting_by_tenant[waiter.tenant] += 1


def remove(state: AdmissionState, waiter: Waiter) -> None:
    """Take a waiter out, wherever it stands; nothing if it is not there."""
    queue = state.classes[waiter.class_name]
    of_tenant = queue.tenants.get(waiter.tenant)
    if of_tenant is None or waiter not in of_tenant:
        return
    of_tenant.remove(waiter)
    if not of_tenant:
        del queue.tenants[waiter.tenant]
    queue.waiting -= 1
    state.waiting -= 1
    _drop_one(state.waiting_by_tenant, waiter.tenant)


def pick_next(state: AdmissionState, cfg: Settings) -> Waiter | None:
    """Take out the waiter to start: least class first, tenants in turn."""
    waiting = [queue for queue in state.classes.values() if queue.waiting]
    for queue in sorted(waiting, key=lambda queue: queue.virtual_time):
        for tenant, waiters in queue.tenants.items():
            places = _places(state, _tenant_share(cfg, tenant))
            if state.running_by_tenant[tenant] >= places:
                continue
            waiter = waiters[0]
            queue.tenants.move_to_end(tenant)
            remove(state, waiter)
            state.virtual_time = queue.virtual_time
            queue.virtual_time += 1 / queue.weight
            return waiter
    return None


def pump(state: AdmissionState, cfg: Settings) -> None:
    """Start waiters while there are places."""
    while state.waiting and state.running < _running_places(state):
        waiter = pick_next(state, cfg)
        if waiter is None:
            return
        waiter.start()


def _take_place(state, cfg, clock, tenant: TenantName) -> Release:
    state.running += 1
    state.running_by_tenant[tenant] += 1
    state.credit += state.limit.value % 1
    state.has_extra_place = state.credit >= 1
    if state.has_extra_place:
        state.credit -= 1
    note_running(state.limit, state.running)
    started = clock()

    def give_back() -> None:
        state.running -= 1
        _drop_one(state.running_by_tenant, tenant)
        pump(state, cfg)

    def release(was_lossy: bool) -> None:
        run_s = clock() - started
        if was_lossy and run_s < state.run_s:
            # A request that failed fast on full queues left others behind that
            # are still served; its place stays taken for as long as usual, or
            # the next ones would fail as fast on the same queues.
            loop = asyncio.get_running_loop()
            loop.call_later(state.run_s - run_s, give_back)
            return
        if state.run_s == 0.0:
            state.run_s = run_s
        state.run_s += RUN_WEIGHT * (run_s - state.run_s)
        give_back()

    return release


def _running_places(state: AdmissionState) -> int:
    """Return the limit, rounded up as often as its fraction says.

    With many daemons over few slots each limit is one to two queries; rounded
    down, every decrease would halve it.
    """
    return int(state.limit.value) + state.has_extra_place


def _places(state: AdmissionState, share: float) -> int:
    return max(1, int(share * _running_places(state)))


def _tenant_share(cfg: Settings, tenant: TenantName) -> float:
    return cfg.tenants.get(tenant, TenantSettings()).max_share


def _class_name(cfg: Settings, name: ClassName) -> ClassName:
    return name if name in cfg.classes else OTHER_CLASSES


def _class_settings(cfg: Settings, name: ClassName) -> ClassSettings:
    return cfg.classes.get(name, ClassSettings())


def _drop_one(counter: Counter, key: TenantName) -> None:
    counter[key] -= 1
    if counter[key] <= 0:
        del counter[key]


def _failure(state: AdmissionState, code: Code) -> Failure:
    text = (
        f"{code.name}: {state.running} requests run, {state.waiting} wait; the limit "
        f"is {int(state.limit.value)} now."
    )
    return Failure(code, text)
