"""Test the cold-start ramp and the queue of a server."""

import random
from dataclasses import dataclass

from bramleyrouter.homes.queues import FairQueue, count_ahead, pop, push, remove
from bramleyrouter.homes.ramps import (
    Ramp,
    apply_load_report,
    record_cancelled,
    record_failure,
    record_success,
)
from bramleyrouter.standins.behaviours import Warmth


def record_successes(ramp, latency_s, count, now, step_s=0.02):
    """Record successes at intervals of ``step_s``; return the time after them."""
    for _ in range(count):
        record_success(ramp, latency_s, now)
        now += step_s
    return now


class TestRamp:
    """Guard against full load on a cold server and against an oscillating limit."""

    def test_the_limit_starts_at_one_and_rises_with_successes_and_time(self):
        ramp = Ramp(4)
        record_successes(ramp, 0.01, 500, 0.0, step_s=0.0)
        assert ramp.limit == 2
        ramp = Ramp(4)
        now = record_successes(ramp, 0.01, 7, 0.0)
        assert ramp.limit == 1
        record_successes(ramp, 0.01, 200, now)
        assert ramp.limit == 4

    def test_a_latency_jump_cuts_once_and_raises_wait_for_a_healthy_latency(self):
        ramp = Ramp(4)
        now = record_successes(ramp, 0.01, 300, 0.0)
        now = record_successes(ramp, 0.1, 30, now)
        assert (ramp.limit, ramp.cut_count) == (1, 1)
        record_successes(ramp, 0.01, 100, now)
        assert (ramp.limit, ramp.cut_count) == (4, 1)

    def run_against_warming_server(self, slots, warm_after, requests):
        """Send as many requests as the limit allows to a server that warms up slowly.

        Returns the ramp, the model of the server and the number of overloads.
        """
        ramp, warmth, now, overloads = Ramp(slots), Warmth(warm_after), 0.0, 0
        for _ in range(requests // slots):
            in_flight = ramp.limit
            for _ in range(in_flight):
                factor = warmth.factor(in_flight, slots)
                overloads += factor > 1
                record_success(ramp, 0.025 * factor, now)
            now += 0.025
        return ramp, warmth, overloads

    def test_a_slowly_warming_server_is_not_overloaded_repeatedly(self):
        ramp, warmth, overloads = self.run_against_warming_server(3, 200, 3000)
        assert (ramp.limit, warmth.share) == (3, 1.0)
        assert overloads <= 30

    def test_one_percent_stragglers_at_ten_times_the_latency_cut_nothing(self):
        ramp, rng = Ramp(4), random.Random(5)
        now = 0.0
        for _ in range(20_000):
            slow = rng.random() < 0.01
            latency_s = (0.008 + rng.expovariate(500.0)) * (10 if slow else 1)
            record_success(ramp, latency_s, now)
            now += 0.01
        assert (ramp.limit, ramp.cut_count) == (4, 0)

    def test_a_lasting_latency_rise_becomes_the_baseline(self):
        ramp = Ramp(3)
        now = record_successes(ramp, 0.01, 300, 0.0)
        now = record_successes(ramp, 0.06, 2000, now)
        assert ramp.limit == 3

    def test_consecutive_failures_cut_the_limit_and_single_ones_do_not(self):
        ramp = Ramp(3)
        now = record_successes(ramp, 0.01, 300, 0.0)
        for _ in range(20):
            record_failure(ramp, now)
            record_failure(ramp, now)
            now = record_successes(ramp, 0.01, 1, now)
        assert ramp.limit == 3
        cuts = [record_failure(ramp, now) for _ in range(3)]
        assert cuts == [False, False, True]

    def test_cancelled_attempts_reveal_a_cold_server(self):
        ramp = Ramp(3)
        now = record_successes(ramp, 0.01, 300, 0.0)
        assert not any(record_cancelled(ramp, 0.005, now) for _ in range(50))
        assert any(record_cancelled(ramp, 0.2, now) for _ in range(5))

    def test_a_server_s_report_lowers_the_limit_to_half_at_most(self):
        ramp = Ramp(6, limit=6)
        for _ in range(10):
            apply_load_report(ramp, False, 50, 0.0)
        assert ramp.limit == 3
        ramp.limit = 1
        assert not apply_load_report(ramp, True, 0, 0.0)
        assert ramp.limit == 1


@dataclass(eq=False)
class QueuedItem:
    """Represent queued work."""

    class_name: str
    deadline: float


def pop_all_items(queue):
    """Pop all items in order."""
    return [pop(queue) for _ in range(queue.size)]


class TestQueue:
    """Guard against starved classes and against items in the wrong order."""

    def test_the_earliest_deadline_of_a_class_goes_first(self):
        queue = FairQueue(lambda name: 1)
        items = [QueuedItem("c", deadline) for deadline in (3.0, 1.0, 2.0)]
        for item in items:
            push(queue, item)
        assert count_ahead(queue, 2.0) == 2
        assert remove(queue, items[2]) and not remove(queue, items[2])
        assert [item.deadline for item in pop_all_items(queue)] == [1.0, 3.0]
        assert pop(queue) is None

    def test_classes_share_by_weight_whatever_their_deadlines(self):
        queue = FairQueue({"bulk": 1, "inspect": 3}.get)
        for number in range(40):
            push(queue, QueuedItem("bulk", float(number)))
        for number in range(12):
            push(queue, QueuedItem("inspect", 100.0 + number))
        first = [item.class_name for item in pop_all_items(queue)[:16]]
        assert first.count("inspect") == 12

    def test_an_idle_class_gains_no_credit(self):
        queue = FairQueue(lambda name: 1)
        for number in range(30):
            push(queue, QueuedItem("busy", float(number)))
        for _ in range(20):
            pop(queue)
        for number in range(10):
            push(queue, QueuedItem("late", 100.0 + number))
        names = [pop(queue).class_name for _ in range(6)]
        assert names.count("late") == 3
