"""Shared records: what the nodes hold for one another, since they have no disk.

The membership exchange and the keepers carry them: suspects to all nodes,
withdrawals to the nodes of their domain and to keepers of the others.
"""

from collections.abc import Callable
from typing import Final, Protocol, TypeVar

from msgspec.structs import replace

from medlarhoist.core.quarantine import Quarantine, Suspicion
from medlarhoist.core.settings import NodeSettings
from medlarhoist.core.withdrawal import Withdrawal, Withdrawals

# Some 45 bytes each; a packet stays below the size of an Ethernet frame.
SUSPICIONS_PER_PACKET: Final = 12
WITHDRAWALS_PER_PACKET: Final = 4


class Carrier(Protocol):
    """A message that carries shared records.

    Args:
        suspicions: requests that are suspected to crash targets.
        withdrawals: runs of targets that drain or have left.
    """

    @property
    def suspicions(self) -> tuple[Suspicion, ...]:
        """Return the records of requests."""

    @property
    def withdrawals(self) -> tuple[Withdrawal, ...]:
        """Return the records of runs."""


_Message = TypeVar('_Message', bound=Carrier)


class SharedRecords:
    """The shared records that a node holds.

    Times are seconds of the monotonic clock.

    Args:
        quarantine: the suspects that it knows of.
        withdrawals: the withdrawals that it holds.
    """

    __slots__ = ('_domain', 'quarantine', 'withdrawals')

    def __init__(
        self,
        domain: str,
        quarantine: Quarantine,
        withdrawals: Withdrawals,
    ) -> None:
        """Hold records for a node of a failure domain."""
        self._domain = domain
        self.quarantine = quarantine
        self.withdrawals = withdrawals

    def on_change(self, callback: Callable[[], None]) -> None:
        """Set the callback for each change, which has to be spread."""
        self.quarantine.on_change = callback
        self.withdrawals.on_change = callback

    def merge(self, message: Carrier, now: float) -> None:
        """Adopt the newer ones of the records that another node sent."""
        self.quarantine.merge(message.suspicions, now)
        self.withdrawals.merge(message.withdrawals, now)

    def attach(self, message: _Message, now: float) -> _Message:
        """Return a message for a member of the domain with all records."""
        return replace(  # type: ignore[type-var]
            message,
            suspicions=self.quarantine.export(now),
            withdrawals=self.withdrawals.export(self._domain, now),
        )

    def attach_updates(
        self,
        packet: _Message,
        limit: int,
        now: float,
    ) -> _Message:
        """Return a packet with the records that were sent least often.

        Args:
            packet: a packet to a member of the domain.
            limit: packets in which each record is sent.
            now: present time.
        """
        return replace(  # type: ignore[type-var]
            packet,
            suspicions=self.quarantine.pop_updates(
                SUSPICIONS_PER_PACKET, limit, now
            ),
            withdrawals=self.withdrawals.pop_updates(
                WITHDRAWALS_PER_PACKET, limit, now
            ),
        )

    def has_unsent(self) -> bool:
        """Return whether a record was not sent to members since it changed."""
        return self.quarantine.has_unsent() or self.withdrawals.has_unsent()


def create_shared_records(cfg: NodeSettings) -> SharedRecords:
    """Return the records of a node that starts: none.

    Args:
        cfg: settings of the node.
    """
    return SharedRecords(
        cfg.domain,
        Quarantine(is_enabled=cfg.quarantine),
        Withdrawals(cfg.domain, cfg.name),
    )
