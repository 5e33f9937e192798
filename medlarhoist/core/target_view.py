"""Target view: what one node has measured and received about a target."""

from math import exp
from typing import Final

from msgspec.structs import replace

from medlarhoist.core.admission import INITIAL_BUSY_S, Load
from medlarhoist.core.condition import NO_CONDITION, Condition
from medlarhoist.core.target import Target

SMOOTHING: Final = 0.2
# Lower than SMOOTHING, which is that of latency, so that a single failure is
# tolerated.
FAILURE_SMOOTHING: Final = 0.1
FAILURES_TO_EJECT: Final = 5
EJECTION_S: Final = 5.0
REFUSAL_PAUSE_S: Final = 0.05
# Normally several responses arrive in this time; an older load is outdated.
LOAD_REPORT_TTL_S: Final = 1.0
# A target that is four times as slow is tried again after four seconds.
CONFIDENCE_DECAY_S: Final = 3.0
UNREACHABLE_PAUSE_S: Final = 1.0
FAILURE_WEIGHT: Final = 20
# One failure among a few successful calls is not significant.
TOLERATED_FAILURE_RATE: Final = 0.15
NEVER_S: Final = -1.0
UNTRIED_BUSY_S: Final = 0.001
_INITIAL_LATENCY_S: Final = INITIAL_BUSY_S


class TargetView:
    """What this node has measured and received about one target.

    Args:
        outstanding: calls in progress from this node.
        latency_s: moving average of the time to the end of a response,
            seconds.
        responses: complete responses below status 500.
        failures: consecutive failed calls.
        failure_rate: moving average of the fraction of failed calls, 0 to 1.
        ejected_until: time until which it is excluded, seconds.
        full_until: time until which it counts as full, seconds.
        unreachable_until: time until which it counts as unreachable, seconds.
        used_at: time of the last call that was sent to it, seconds.
        load: load that its node last reported, None before the first report.
        load_reported_at: time of that report, seconds.
        sent_since_report: calls sent to it from here since that report.
        condition: what it has stated of itself in its last response.
        condition_since_ms: `since_ms` of the target when it was recorded.
    """

    __slots__ = (
        'condition',
        'condition_since_ms',
        'ejected_until',
        'failure_rate',
        'failures',
        'full_until',
        'latency_s',
        'load',
        'load_reported_at',
        'outstanding',
        'responses',
        'sent_since_report',
        'unreachable_until',
        'used_at',
    )

    def __init__(self) -> None:
        """Start without measurements."""
        self.responses = 0
        self.outstanding = 0
        self.latency_s = _INITIAL_LATENCY_S
        self.failures = 0
        self.failure_rate = float()
        self.ejected_until = NEVER_S
        self.full_until = NEVER_S
        self.unreachable_until = NEVER_S
        self.used_at = NEVER_S
        self.load: Load | None = None
        self.load_reported_at = NEVER_S
        self.sent_since_report = 0
        self.condition: Condition = NO_CONDITION
        self.condition_since_ms = 0

    def record_send(self, now: float) -> None:
        """Record that a call is sent to the target."""
        self.outstanding += 1
        self.sent_since_report += 1
        self.used_at = now

    def record_condition(self, condition: Condition, since_ms: int) -> None:
        """Record what the target has stated, or its node has reported.

        Args:
            condition: what it states of itself.
            since_ms: when its node received the first notice of its run.
        """
        self.condition = condition
        self.condition_since_ms = since_ms

    def is_leaving(self, target: Target) -> bool:
        """Return whether this run of a target has stated that it leaves.

        False where its node has announced a run since then. That can be the
        same run after a restart of the node, which refuses the calls then.
        """
        is_same_run = target.since_ms == self.condition_since_ms
        return self.condition.is_leaving and is_same_run

    def record_load(self, load: Load, now: float) -> None:
        """Record a load report of the target's node."""
        self.load = load
        self.load_reported_at = now
        self.sent_since_report = 0

    def present_load(self, slots: int, now: float) -> Load:
        """Return the best estimate of the target's present load.

        That is the last report plus the calls sent since then, or an estimate
        from this node's own calls if the report is missing or outdated. A
        target that was never tried counts as very fast until its first call
        is sent, so that each target is tried.

        Args:
            slots: slots that the target announces.
            now: present time, seconds.
        """
        reported = self.load
        if reported is None or now - self.load_reported_at > LOAD_REPORT_TTL_S:
            is_new = not (self.responses or self.outstanding or self.failures)
            busy_s = UNTRIED_BUSY_S if is_new else self.latency_s
            rate = self.condition.rate
            load = Load(slots, self.outstanding, 0, busy_s, rate)
            return load if reported is None else self._keep_cold(load, now)
        delay_s: float = 0
        if reported.rate:
            turns_s = self.sent_since_report / reported.rate
            passed_s = now - self.load_reported_at
            delay_s = max(0, reported.delay_s + turns_s - passed_s)
        load = replace(
            reported,
            used=reported.used + self.sent_since_report,
            delay_s=delay_s,
        )
        return self._keep_cold(load, now)

    def _keep_cold(self, load: Load, now: float) -> Load:
        """Return a load with the coldness that is left of the last report."""
        reported = self.load
        if reported is None or not reported.cold_s:
            return load
        cold_s = reported.cold_s - (now - self.load_reported_at)
        if cold_s <= 0:
            return replace(load, cold_s=0)
        return replace(load, rate=reported.rate, cold_s=cold_s)

    def confidence(self, now: float) -> float:
        """Return how far the recorded measurements still apply, 0 to 1.

        It decays while the target receives no calls, and its cost with it. So
        a slow target is tried again after a while, and later the slower it is.

        Args:
            now: present time, seconds.
        """
        if self.outstanding or self.used_at < 0:
            return 1
        return exp(-max(0, now - self.used_at) / CONFIDENCE_DECAY_S)

    def failure_factor(self) -> float:
        """Return the factor of its cost for recent failures, one for none."""
        excess = max(0, self.failure_rate - TOLERATED_FAILURE_RATE)
        return 1 + FAILURE_WEIGHT * excess

    def record_success(self, latency_s: float) -> None:
        """Record a complete response below status 500."""
        self.failures = 0
        self.failure_rate -= FAILURE_SMOOTHING * self.failure_rate
        self.responses += 1
        weight = max(SMOOTHING, 1 / self.responses)
        self.latency_s += weight * (latency_s - self.latency_s)

    def record_failure(self, now: float) -> None:
        """Record a failed call; FAILURES_TO_EJECT in a row eject the target.

        After an ejection, one more failure before a success ejects it again.
        """
        self.failures += 1
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)
        if self.failures >= FAILURES_TO_EJECT:
            self.ejected_until = now + EJECTION_S
            self.failures = FAILURES_TO_EJECT - 1

    def record_refusal(self, now: float) -> None:
        """Record that the target had no free slot."""
        self.full_until = now + REFUSAL_PAUSE_S

    def record_no_connection(self, now: float) -> None:
        """Record that the target's node was unreachable."""
        self.full_until = now + UNREACHABLE_PAUSE_S
        self.unreachable_until = self.full_until
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)
