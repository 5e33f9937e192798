"""Summary: what one failure domain tells the others of its targets.

Churn in one domain costs the others one bounded message. The summaries of a
domain that is cut off grow old; they are kept as a last resort, after those
that are fresh.
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
    """Targets of another failure domain.

    Args:
        domain: the failure domain told of.
        sequence: grows with every change of the summary.
        targets: a bounded sample of its targets.
        age_ms: time since it was last confirmed, in milliseconds.
    """

    domain: str
    sequence: int
    targets: tuple[Target, ...]
    age_ms: int = 0


class SummaryMark(Struct, frozen=True, kw_only=True):
    """Names the summary that a process has of one domain.

    Args:
        sequence: its sequence.
        digest: digest of its targets.
    """

    sequence: int
    digest: str


NO_MARK: Final = SummaryMark(sequence=0, digest='')


class CachedSummary(Struct, frozen=True, kw_only=True):
    """A summary and when it was last confirmed, by the local clock."""

    summary: Summary
    mark: SummaryMark
    confirmed_ms: int


def mark_of(summary: Summary) -> SummaryMark:
    """Return the mark of a summary."""
    encoded = msgpack.encode(summary.targets)
    digest = hashlib.sha256(encoded).hexdigest()[:DIGEST_HEX_DIGITS]
    return SummaryMark(sequence=summary.sequence, digest=digest)


def is_wanted(known: SummaryMark, offered: SummaryMark) -> bool:
    """Say whether a process that has one summary needs another."""
    if offered.sequence <= known.sequence:
        return False
    return offered.digest != known.digest


def is_stale(known: CachedSummary, now_ms: int) -> bool:
    """Say whether a summary was not confirmed for long."""
    return now_ms - known.confirmed_ms > FRESH_MS


def sample_targets(targets: Iterable[Target]) -> tuple[Target, ...]:
    """Return a bounded sample of the targets that take new work.

    The sample of each service and label is the same at every keeper that
    knows the same targets, and spreads over the nodes.
    """
    groups: dict[tuple[str, str], list[Target]] = {}
    for target in targets:
        if target.phase is TargetPhase.READY:
            key = target.service, target.label
            groups.setdefault(key, []).append(target)
    chosen: list[Target] = []
    for _, group in sorted(groups.items()):
        group.sort(key=_node_name)
        chosen.extend(group[:TARGETS_PER_VERSION])
    return tuple(chosen)


def next_summary(
    known: Summary | None,
    domain: str,
    targets: tuple[Target, ...],
    now_ms: int,
) -> Summary:
    """Return the summary to tell; the sequence grows only with a change."""
    sequence = known.sequence if known else 0
    if known is None or known.targets != targets:
        sequence = max(sequence + 1, now_ms)
    return Summary(domain=domain, sequence=sequence, targets=targets)


def order_summaries(
    known: Iterable[CachedSummary],
    now_ms: int,
) -> tuple[Summary, ...]:
    """Return the fresh summaries first, then the old ones, by domain."""
    by_domain = {each.summary.domain: each for each in known}
    ordered = sorted(
        (is_stale(by_domain[domain], now_ms), domain) for domain in by_domain
    )
    return tuple(by_domain[domain].summary for _, domain in ordered)


def _node_name(target: Target) -> str:
    return target.node
