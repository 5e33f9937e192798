"""Drain log: log lines on the steps of domain drains, as seen by one node."""

from loguru import logger

from medlarhoist.core.admission import Load
from medlarhoist.core.domain_drain import DomainDrains


class DrainLog:
    """Logs each step of a drain once."""

    __slots__ = ('_awaits_last_call', '_domain')

    def __init__(self, domain: str) -> None:
        """Start without drains.

        Args:
            domain: failure domain of this node.
        """
        self._domain = domain
        self._awaits_last_call = False

    def record_change(
        self, before: frozenset[str], after: frozenset[str]
    ) -> None:
        """Log the drains that begin and end at this node.

        Args:
            before: domains that were drained until now.
            after: domains that are drained from now on.
        """
        for begun in sorted(after - before):
            logger.bind(domain=begun).info('drain: in force at this node')
        for ended in sorted(before - after):
            logger.bind(domain=ended).info('drain: has ended at this node')
        if (self._domain in after) != (self._domain in before):
            self._awaits_last_call = self._domain in after

    def record_progress(
        self, drains: DomainDrains, load: Load, now: float
    ) -> None:
        """Log the last call of the target, and domains that are whole again.

        Args:
            drains: the drains; those whose domains are whole are forgotten.
            load: present load of the target beside this node.
            now: seconds of the monotonic clock.
        """
        for whole in drains.expire(now):
            logger.bind(domain=whole).info('drain: the domain has its share')
        if self._awaits_last_call and not load.used and not load.waiting:
            self._awaits_last_call = False
            logger.bind(domain=self._domain).info(
                'drain: the last call has left the target'
            )
