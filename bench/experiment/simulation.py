"""World: targets, callers and virtual time for the decisions of core.admission.

Nothing here is a process or a socket. Arrivals and work are drawn by seed,
and each decision is made by a policy, the functions that nodes call above all.
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
_Due = tuple[float, int, Callable[[], None]]
_KEY: Final = attrgetter('key')


class RequestKind(Struct, frozen=True, kw_only=True):
    """One kind of request.

    Args:
        name: its name.
        service: service that it goes to.
        per_s: arrivals a second; zero for calls of running requests.
        work_s: mean time that it works on a target, seconds.
        spread: standard deviation of the logarithm of that time.
        objective_s: time within which an answer has its full worth, seconds.
        deadline_s: time after which nobody waits, seconds.
        priority: rank, zero for the highest.
        calls: kind of the call that it makes while it runs, empty for none.
        call_share: share of the requests that make it.
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
    """What became of the requests of one kind."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Return all requests."""
        return self.in_time + self.late + self.refused + self.failed


class Clock:
    """Virtual time, and what is to happen in it."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now: float = 0
        self._numbers = count()
        self._queue: list[_Due] = []

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heappush(self._queue, (at, next(self._numbers), action))

    def run(self, end: float) -> None:
        """Let the time pass."""
        while self._queue and self._queue[0][0] <= end:
            due = heappop(self._queue)
            self.now = due[0]
            due[2]()


class _Waiter:
    __slots__ = ('key', 'need', 'on_turn')

    def __init__(
        self,
        need: CallRequirements,
        key: Any,
        on_turn: Callable[[bool], None],
    ) -> None:
        self.need = need
        self.key = key
        self.on_turn = on_turn


class Slots:
    """The slots of one target, as node.proxy.slots keeps them."""

    def __init__(
        self,
        clock: Clock,
        number: int,
        speed: float,
        policy: Policy,
    ) -> None:
        """Start idle; the speed divides the work."""
        self._clock = clock
        self._policy = policy
        self._busy_s = INITIAL_BUSY_S
        self._usual_s: dict[tuple[bool, int], float] = {}
        self._number = number
        self._waiters: list[_Waiter] = []
        self.speed = speed
        self.used = 0

    @property
    def load(self) -> Load:
        """Return the present load."""
        return Load(self._number, self.used, len(self._waiters), self._busy_s)

    def take(
        self, need: CallRequirements, on_turn: Callable[[bool], None]
    ) -> None:
        """Take a slot now or later; the call is told whether it has one."""
        now = self._clock.now
        need = replace(need, usual_s=self._usual_s.get(need.load_class, 0))
        key = self._policy.order_key(need, now)
        ahead = sum(waiter.key <= key for waiter in self._waiters)
        admission = self._policy.admit(self.load, need, now, ahead)
        if admission is Admission.WAIT:
            insort(self._waiters, _Waiter(need, key, on_turn), key=_KEY)
            return
        if admission is Admission.START:
            self.used += 1
        on_turn(admission is Admission.START)

    def release(self, need: CallRequirements, took_s: float) -> None:
        """Free the slot of a call."""
        self._busy_s += SMOOTHING * (took_s - self._busy_s)
        usual_s = self._usual_s.get(need.load_class, took_s)
        usual_s += SMOOTHING * (took_s - usual_s)
        self._usual_s[need.load_class] = usual_s
        kept: list[_Waiter] = []
        for waiter in self._waiters:
            is_due = self._policy.can_end(
                self.load, waiter.need, self._clock.now, len(kept)
            )
            if is_due:
                kept.append(waiter)
            else:
                waiter.on_turn(False)
        self._waiters = kept
        if kept:
            self._waiters.pop(0).on_turn(True)
        else:
            self.used -= 1


class World:
    """Targets by service, and the requests that come to them."""

    def __init__(
        self,
        kinds: tuple[RequestKind, ...],
        targets: dict[str, tuple[float, ...]],
        slots: int,
        seed: int,
        policy: Policy = PRODUCT,
    ) -> None:
        """Start at time zero.

        Args:
            kinds: what comes.
            targets: the speeds of the targets of each service.
            slots: slots of each target.
            seed: of all that is drawn.
            policy: how calls wait and are refused.
        """
        self.clock = Clock()
        self._draw = Random(seed)
        self._kinds = {kind.name: kind for kind in kinds}
        self._targets = {
            service: [
                Slots(self.clock, slots, speed, policy) for speed in speeds
            ]
            for service, speeds in targets.items()
        }
        self.tallies = {kind.name: Tally() for kind in kinds}

    def run(self, seconds: float) -> dict[str, Tally]:
        """Let requests come for some seconds and see each to its end."""
        for kind in self._kinds.values():
            if kind.per_s:
                self._arrive(kind, seconds)
        self.clock.run(seconds * 2)
        return self.tallies

    def _arrive(self, kind: RequestKind, until: float) -> None:
        at = self.clock.now + self._draw.expovariate(kind.per_s)
        if at > until:
            return

        def come() -> None:  # noqa: WPS430  bound to its arrival
            self._come(kind, self._count(kind))
            self._arrive(kind, until)

        self.clock.call_at(at, come)

    def _come(
        self, kind: RequestKind, count_end: Callable[[str], None]
    ) -> None:
        """Let a caller come, who returns once after a refusal."""
        ends = self.clock.now + kind.deadline_s

        def end_first(outcome: str) -> None:  # noqa: WPS430
            left_s = ends - self.clock.now
            if outcome != 'refused' or left_s <= 0:
                count_end(outcome)
                return
            load = self._targets[kind.service][0].load
            wait_s = min(retry_after_seconds(load, self._draw), left_s / 3)
            self.clock.call_at(
                self.clock.now + wait_s,
                lambda: self._start(kind, ends - self.clock.now, count_end),
            )

        self._start(kind, kind.deadline_s, end_first)

    def _count(self, kind: RequestKind) -> Callable[[str], None]:
        began = self.clock.now
        tally = self.tallies[kind.name]

        def count_end(outcome: str) -> None:  # noqa: WPS430
            took_s = self.clock.now - began
            if outcome != 'served':
                setattr(tally, outcome, getattr(tally, outcome) + 1)
            elif took_s <= kind.objective_s:
                tally.in_time += 1
            else:
                tally.late += 1

        return count_end

    def _start(
        self,
        kind: RequestKind,
        left_s: float,
        on_end: Callable[[str], None],
    ) -> None:
        """Offer a request to the target with the least predicted wait."""
        now = self.clock.now
        spent_s = kind.deadline_s - left_s if kind.per_s else 0
        need = CallRequirements(
            priority=kind.priority,
            deadline=now + min(left_s, kind.deadline_s),
            due=now + min(left_s, kind.objective_s - spent_s),
            is_nested=not kind.per_s,
        )
        target = min(self._targets[kind.service], key=self._cost)

        def turn(has_slot: bool) -> None:  # noqa: WPS430
            if has_slot:
                self._work(kind, target, need, on_end)
            else:
                on_end('refused')

        target.take(need, turn)

    def _cost(self, target: Slots) -> float:
        load = target.load
        queue = max(0, load.used - load.slots + 1) + load.waiting
        jitter = self._draw.uniform(1, 1.1)
        return jitter * load.busy_s * (1 + load.used / load.slots + queue)

    def _work(
        self,
        kind: RequestKind,
        target: Slots,
        need: CallRequirements,
        on_end: Callable[[str], None],
    ) -> None:
        began = self.clock.now
        mean = kind.work_s / target.speed
        work_s = mean * exp(
            self._draw.gauss(-(kind.spread**2) / 2, kind.spread)
        )
        calls = bool(kind.calls) and self._draw.random() < kind.call_share

        def end(outcome: str) -> None:  # noqa: WPS430
            target.release(need, self.clock.now - began)
            is_over = self.clock.now > need.deadline
            on_end('failed' if outcome != 'served' or is_over else 'served')

        def work_done() -> None:  # noqa: WPS430
            if not calls:
                end('served')
                return
            inner = self._kinds[kind.calls]
            self._start(inner, need.deadline - self.clock.now, end)

        self.clock.call_at(began + work_s, work_done)
