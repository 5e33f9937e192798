"""Summary: the targets that one failure domain announces to the others.

A summary is bounded in size, so churn in one domain costs the others one
bounded message. The summary of a disconnected domain becomes stale; it is kept
as a last resort, after the fresh ones.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

from msgspec import Struct, msgpack

from medlarhoist.core.target import Target, TargetPhase

TARGETS_PER_VERSION: Final = 8
FRESH_MS: Final = 15_000
DIGEST_HEX_DIGITS: Final = 16


class Summary(Struct, frozen=True, kw_only=True, tag='summary'):
    """Targets of one failure domain, as announced to the others.

    Args:
        domain: the failure domain of the targets.
        sequence: grows with every change of the targets.
        targets: a bounded sample of its ready targets.
        age_ms: time since it was last confirmed, in milliseconds.
    """

    domain: str
    sequence: int
    targets: tuple[Target, ...]
    age_ms: int = 0


class SummaryMark(Struct, frozen=True, kw_only=True):
    """Identifies the summary that a process holds of one domain.

    Args:
        sequence: its sequence.
        digest: digest of its targets.
    """

    sequence: int
    digest: str


NO_MARK: Final = SummaryMark(sequence=0, digest='')


class CachedSummary(Struct, frozen=True, kw_only=True):
    """A received summary.

    Args:
        summary: the summary.
        mark: its mark.
        confirmed_ms: when it was last confirmed, by the local clock,
            milliseconds since 1970.
    """

    summary: Summary
    mark: SummaryMark
    confirmed_ms: int


def mark_of(summary: Summary) -> SummaryMark:
    """Return the mark of a summary."""
    encoded = msgpack.encode(summary.targets)
    digest = hashlib.sha256(encoded).hexdigest()[:DIGEST_HEX_DIGITS]
    return SummaryMark(sequence=summary.sequence, digest=digest)


def is_wanted(held: SummaryMark, offered: SummaryMark) -> bool:
    """Return whether an offered summary replaces the one that is held.

    Args:
        held: mark of the summary that a process holds, `NO_MARK` for none.
        offered: mark of the summary that another process offers.

    Returns:
        Whether it has a higher sequence and different targets.
    """
    if offered.sequence <= held.sequence:
        return False
    return offered.digest != held.digest


def is_stale(cached: CachedSummary, now_ms: int) -> bool:
    """Return whether a summary was not confirmed within `FRESH_MS`."""
    return now_ms - cached.confirmed_ms > FRESH_MS


def sample_targets(targets: Iterable[Target]) -> tuple[Target, ...]:
    """Return a bounded sample of the targets that are ready or have left.

    It holds up to `TARGETS_PER_VERSION` targets of each service and label and
    of either kind, the first by node name, each on another node. So every
    keeper with the same targets returns the same sample.
    """
    groups: dict[tuple[str, str, bool], list[Target]] = {}
    for target in targets:
        is_ready = target.phase is TargetPhase.READY
        if is_ready or target.run_key:
            key = target.service, target.label, is_ready
            groups.setdefault(key, []).append(target)
    sampled: list[Target] = []
    for _, group in sorted(groups.items()):
        group.sort(key=_node_name)
        sampled.extend(group[:TARGETS_PER_VERSION])
    return tuple(sampled)


def next_summary(
    current: Summary | None,
    domain: str,
    targets: tuple[Target, ...],
    now_ms: int,
) -> Summary:
    """Return the summary to announce to other failure domains.

    Args:
        current: the previous summary, None for none.
        domain: the failure domain of this node.
        targets: sample of its targets.
        now_ms: wall clock time, milliseconds since 1970; a new sequence is at
            least that, so that it also grows across a restart.

    Returns:
        The summary; its sequence grows only if the targets have changed.
    """
    sequence = current.sequence if current else 0
    if current is None or current.targets != targets:
        sequence = max(sequence + 1, now_ms)
    return Summary(domain=domain, sequence=sequence, targets=targets)


def order_summaries(
    summaries: Iterable[CachedSummary],
    now_ms: int,
) -> tuple[Summary, ...]:
    """Return the fresh summaries and then the stale ones, each by domain."""
    by_domain = {cached.summary.domain: cached for cached in summaries}
    ordered = sorted(
        (is_stale(by_domain[domain], now_ms), domain) for domain in by_domain
    )
    return tuple(by_domain[domain].summary for _, domain in ordered)


def _node_name(target: Target) -> str:
    return target.node
