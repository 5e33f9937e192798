"""Simulation: targets and callers in virtual time, for core.admission.

It uses no processes or sockets. Arrivals and work are drawn from a seed, and a
policy makes each decision; the default policy is the functions of nodes.
"""

from bisect import insort
from collections.abc import Callable, Generator
from heapq import heappop, heappush
from itertools import count
from math import exp
from operator import attrgetter
from random import Random
from typing import Any, Final

from msgspec import Struct
from msgspec.structs import replace

from bench.experiment.policies import PRODUCT, Policy
from medlarhoist.core.admission import (
    INITIAL_BUSY_S,
    Admission,
    CallRequirements,
    Load,
    retry_after_seconds,
)

SMOOTHING: Final = 0.1
Process = Generator[Any, Any, Any]
_Event = tuple[float, int, Callable[[], None]]
_KEY: Final = attrgetter('key')


class RequestKind(Struct, frozen=True, kw_only=True):
    """One kind of request.

    Args:
        name: name of the kind.
        service: service that runs it.
        per_s: arrivals a second; zero for nested calls.
        work_s: mean time that it runs on a target of speed 1, seconds.
        spread: standard deviation of the logarithm of that time.
        objective_s: latency objective, seconds.
        deadline_s: time after which the caller stops waiting, seconds.
        priority: rank, zero for the highest.
        calls: kind of the nested call that it makes, empty for none.
        call_share: share of the requests that make the nested call.
    """

    name: str
    service: str
    per_s: float
    work_s: float
    spread: float
    objective_s: float
    deadline_s: float
    priority: int = 0
    calls: str = ''
    call_share: float = 0


class Tally(Struct):
    """Counts of the requests of one kind, by outcome.

    Args:
        in_time: finished within the latency objective.
        late: finished after it.
        refused: refused by admission control.
        failed: ended after the deadline, or its nested call was refused or
            failed.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Return the number of all requests."""
        return self.in_time + self.late + self.refused + self.failed


class Clock:
    """Virtual time with a queue of events.

    Args:
        now: present time, seconds since the start.
    """

    def __init__(self) -> None:
        """Create a clock at time zero without events."""
        self.now: float = 0
        self._numbers = count()
        self._queue: list[_Event] = []

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, in seconds since the start."""
        heappush(self._queue, (at, next(self._numbers), action))

    def run(self, end: float) -> None:
        """Run all events up to a time, including those that they schedule."""
        while self._queue and self._queue[0][0] <= end:
            event = heappop(self._queue)
            self.now = event[0]
            event[2]()


class _Waiter:
    __slots__ = ('key', 'on_turn', 'requirements')

    def __init__(
        self,
        requirements: CallRequirements,
        key: Any,
        on_turn: Callable[[bool], None],
    ) -> None:
        self.requirements = requirements
        self.key = key
        self.on_turn = on_turn


class Slots:
    """The slots and the queue of one target, like node.proxy.slots.

    Args:
        speed: divisor of the time that requests run.
        used: slots in use.
    """

    def __init__(
        self,
        clock: Clock,
        number: int,
        speed: float,
        policy: Policy,
    ) -> None:
        """Create an idle target.

        Args:
            clock: virtual time.
            number: number of slots.
            speed: divisor of the time that requests run.
            policy: decisions of the queue.
        """
        self._clock = clock
        self._policy = policy
        self._busy_s = INITIAL_BUSY_S
        self._mean_s: dict[tuple[bool, int], float] = {}
        self._slots = number
        self._waiters: list[_Waiter] = []
        self.speed = speed
        self.used = 0

    @property
    def load(self) -> Load:
        """Return the present load."""
        return Load(self._slots, self.used, len(self._waiters), self._busy_s)

    def acquire(
        self, requirements: CallRequirements, on_turn: Callable[[bool], None]
    ) -> None:
        """Request a slot; on_turn is called with whether the call got one.

        It is called at once, or later if the call has to wait.
        """
        now = self._clock.now
        requirements = replace(
            requirements, usual_s=self._mean_s.get(requirements.load_class, 0)
        )
        key = self._policy.order_key(requirements, now)
        ahead = sum(waiter.key <= key for waiter in self._waiters)
        admission = self._policy.admit(self.load, requirements, now, ahead)
        if admission is Admission.WAIT:
            insort(self._waiters, _Waiter(requirements, key, on_turn), key=_KEY)
            return
        if admission is Admission.START:
            self.used += 1
        on_turn(admission is Admission.START)

    def release(self, requirements: CallRequirements, took_s: float) -> None:
        """Free the slot of a call and pass it to the next waiting call.

        Waiting calls that can no longer finish in time are refused first.
        """
        self._busy_s += SMOOTHING * (took_s - self._busy_s)
        mean_s = self._mean_s.get(requirements.load_class, took_s)
        mean_s += SMOOTHING * (took_s - mean_s)
        self._mean_s[requirements.load_class] = mean_s
        kept: list[_Waiter] = []
        for waiter in self._waiters:
            can_finish = self._policy.can_end(
                self.load, waiter.requirements, self._clock.now, len(kept)
            )
            if can_finish:
                kept.append(waiter)
            else:
                waiter.on_turn(False)
        self._waiters = kept
        if kept:
            self._waiters.pop(0).on_turn(True)
        else:
            self.used -= 1


class Simulation:
    """Targets by service, and the requests that arrive at them.

    Args:
        clock: virtual time.
        tallies: outcomes by kind of request.
    """

    def __init__(
        self,
        kinds: tuple[RequestKind, ...],
        targets: dict[str, tuple[float, ...]],
        slots: int,
        seed: int,
        policy: Policy = PRODUCT,
    ) -> None:
        """Create idle targets at time zero.

        Args:
            kinds: kinds of requests that arrive.
            targets: speeds of the targets, by service.
            slots: slots of each target.
            seed: seed of arrivals, work and routing.
            policy: decisions of the queues.
        """
        self.clock = Clock()
        self._rng = Random(seed)
        self._kinds = {kind.name: kind for kind in kinds}
        self._targets = {
            service: [
                Slots(self.clock, slots, speed, policy) for speed in speeds
            ]
            for service, speeds in targets.items()
        }
        self.tallies = {kind.name: Tally() for kind in kinds}

    def run(self, seconds: float) -> dict[str, Tally]:
        """Simulate arrivals for some seconds and return the outcomes by kind.

        Time continues until twice that, so that requests can finish.
        """
        for kind in self._kinds.values():
            if kind.per_s:
                self._schedule_arrival(kind, seconds)
        self.clock.run(seconds * 2)
        return self.tallies

    def _schedule_arrival(self, kind: RequestKind, until: float) -> None:
        at = self.clock.now + self._rng.expovariate(kind.per_s)
        if at > until:
            return

        def arrive() -> None:  # noqa: WPS430  closure over kind
            self._start_caller(kind, self._create_counter(kind))
            self._schedule_arrival(kind, until)

        self.clock.call_at(at, arrive)

    def _start_caller(
        self, kind: RequestKind, count_outcome: Callable[[str], None]
    ) -> None:
        """Start the request of a caller, which retries once if refused."""
        deadline = self.clock.now + kind.deadline_s

        def end_first_attempt(outcome: str) -> None:  # noqa: WPS430
            left_s = deadline - self.clock.now
            if outcome != 'refused' or left_s <= 0:
                count_outcome(outcome)
                return
            load = self._targets[kind.service][0].load
            wait_s = min(retry_after_seconds(load, self._rng), left_s / 3)
            self.clock.call_at(
                self.clock.now + wait_s,
                lambda: self._start(
                    kind, deadline - self.clock.now, count_outcome
                ),
            )

        self._start(kind, kind.deadline_s, end_first_attempt)

    def _create_counter(self, kind: RequestKind) -> Callable[[str], None]:
        began = self.clock.now
        tally = self.tallies[kind.name]

        def count_outcome(outcome: str) -> None:  # noqa: WPS430
            took_s = self.clock.now - began
            if outcome != 'served':
                setattr(tally, outcome, getattr(tally, outcome) + 1)
            elif took_s <= kind.objective_s:
                tally.in_time += 1
            else:
                tally.late += 1

        return count_outcome

    def _start(
        self,
        kind: RequestKind,
        left_s: float,
        on_end: Callable[[str], None],
    ) -> None:
        """Send a request to the target with the lowest predicted cost."""
        now = self.clock.now
        elapsed_s = kind.deadline_s - left_s if kind.per_s else 0
        requirements = CallRequirements(
            priority=kind.priority,
            deadline=now + min(left_s, kind.deadline_s),
            due=now + min(left_s, kind.objective_s - elapsed_s),
            is_nested=not kind.per_s,
        )
        target = min(self._targets[kind.service], key=self._cost)

        def on_turn(has_slot: bool) -> None:  # noqa: WPS430
            if has_slot:
                self._work(kind, target, requirements, on_end)
            else:
                on_end('refused')

        target.acquire(requirements, on_turn)

    def _cost(self, target: Slots) -> float:
        load = target.load
        queue = max(0, load.used - load.slots + 1) + load.waiting
        jitter = self._rng.uniform(1, 1.1)
        return jitter * load.busy_s * (1 + load.used / load.slots + queue)

    def _work(
        self,
        kind: RequestKind,
        target: Slots,
        requirements: CallRequirements,
        on_end: Callable[[str], None],
    ) -> None:
        began = self.clock.now
        mean = kind.work_s / target.speed
        work_s = mean * exp(self._rng.gauss(-(kind.spread**2) / 2, kind.spread))
        calls = bool(kind.calls) and self._rng.random() < kind.call_share

        def end(outcome: str) -> None:  # noqa: WPS430
            target.release(requirements, self.clock.now - began)
            is_over = self.clock.now > requirements.deadline
            on_end('failed' if outcome != 'served' or is_over else 'served')

        def finish_work() -> None:  # noqa: WPS430
            if not calls:
                end('served')
                return
            inner = self._kinds[kind.calls]
            self._start(inner, requirements.deadline - self.clock.now, end)

        self.clock.call_at(began + work_s, finish_work)
