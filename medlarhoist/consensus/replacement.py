"""Placing: gives the place of a lost replica to a spare one.

The group has a fixed number of names. A spare replica with an empty data
folder takes a name over, is brought up to date as a learner, and counts once
the others have committed its admission, as after the loss of a disk. From
then on the folder that had the name before counts no more, wherever it is.
"""

from math import inf
from typing import Final

from msgspec import Struct

from medlarhoist.consensus.replica import Replica, Role, pending_admission

# A spare must count within four seconds, a catch-up of one second included.
LOST_SECONDS: Final = 2.5


class Offer(Struct, frozen=True, kw_only=True):
    """What a source that no leader speaks to says of itself.

    Args:
        place: where it is.
        name: the name that it has, empty for a spare one.
        incarnation: its data folder, empty for a spare one.
    """

    place: str
    name: str = ''
    incarnation: str = ''


class Placement(Struct, frozen=True, kw_only=True):
    """Answers an offer.

    Args:
        name: the name that the source shall take, or has; empty for none.
        is_retired: whether its data folder counts no more for good.
        places: where the replicas are, by name.
        leader: name of the leader, empty where it is unknown.
    """

    name: str = ''
    is_retired: bool = False
    places: dict[str, str] = {}
    leader: str = ''


def is_retired(replica: Replica, offer: Offer) -> bool:
    """Say whether another folder, elsewhere, has taken the name over.

    Only the leader may say so, once it knows all that was ever committed.
    """
    if not offer.name:
        return False
    has_moved = replica.places.get(offer.name, offer.place) != offer.place
    return has_moved and replica.voters[offer.name] != offer.incarnation


def choose_name(
    replica: Replica,
    offer: Offer,
    places: dict[str, str],
    now: float,
) -> str:
    """Return the name that a spare source shall take, empty for none.

    Args:
        replica: the leader.
        offer: the spare source.
        places: where the replicas are, by name.
        now: seconds of the monotonic clock.
    """
    if replica.role is not Role.LEADER:
        return ''
    returned = [one for one in replica.peers if places.get(one) == offer.place]
    if returned:
        return returned[0]
    pending = pending_admission(replica)
    if pending is not None or replica.commit < replica.start_index:
        return ''
    silent = {peer: silence_of(replica, peer, now) for peer in replica.peers}
    longest = max(replica.peers, key=silent.__getitem__, default='')
    return longest if silent.get(longest, 0) > LOST_SECONDS else ''


def silence_of(replica: Replica, name: str, now: float) -> float:
    """Return for how long a peer has not answered its leader, seconds."""
    progress = replica.progress.get(name)
    answered = -inf if progress is None else progress.sent_at
    return now - max(answered, replica.elected_at)
