"""Replacement: reassigns the member slot of a failed source to a standby.

A group has a fixed number of member slots, each with a name. A standby is a
source without a slot. It joins under the name of the slot with an empty data
folder, replicates the log as a learner, and becomes a voting member once the
other members have committed its admission, as after the loss of a disk. From
then on the data folder of the earlier member is not counted any more.
"""

from math import inf
from typing import Final

from msgspec import Struct, field

from medlarhoist.consensus.replica import Replica, Role, pending_admission

# A standby must be a voting member within four seconds of a failure, which
# includes one second to replicate the log.
UNAVAILABLE_SECONDS: Final = 2.5


class MembershipRequest(Struct, frozen=True, kw_only=True):
    """Asks for the membership of a source that no leader contacts.

    Args:
        endpoint: control and API address of the source.
        name: name of its member slot, empty for a standby.
        incarnation: identity of its data folder, empty for a standby.
    """

    endpoint: str = field(name='place')
    name: str = ''
    incarnation: str = ''


class MembershipReply(Struct, frozen=True, kw_only=True):
    """Replies to a MembershipRequest.

    Args:
        name: member slot that the source gets or holds; empty for none.
        is_retired: whether its data folder has been replaced for good.
        endpoints: addresses of the sources of the group, by name.
        leader: name of the leader, empty where unknown.
    """

    name: str = ''
    is_retired: bool = False
    endpoints: dict[str, str] = field(default_factory=dict, name='places')
    leader: str = ''


def is_retired(replica: Replica, request: MembershipRequest) -> bool:
    """Return whether the source's member slot was reassigned.

    True if another endpoint and another data folder have the slot. Call this
    on a leader only, after a read barrier: another replica may not hold the
    admission yet.
    """
    if not request.name:
        return False
    has_moved = (
        replica.endpoints.get(request.name, request.endpoint)
        != request.endpoint
    )
    return has_moved and replica.voters[request.name] != request.incarnation


def choose_member_slot(
    replica: Replica,
    request: MembershipRequest,
    endpoints: dict[str, str],
    now: float,
) -> str:
    """Return the name of the member slot for a standby, empty for none.

    That is the slot that has the endpoint of the standby, as when a source
    restarts with an empty data folder; else the slot of the unavailable peer
    with the longest time since its last reply. The latter waits until no
    admission is pending and the leader has committed an entry of its term.

    Args:
        replica: the leader; another replica reassigns no slot.
        request: the request of the standby.
        endpoints: addresses of the sources of the group, by name.
        now: seconds of the monotonic clock.
    """
    if replica.role is not Role.LEADER:
        return ''
    same_endpoint = [
        peer
        for peer in replica.peers
        if endpoints.get(peer) == request.endpoint
    ]
    if same_endpoint:
        return same_endpoint[0]
    pending = pending_admission(replica)
    if pending is not None or replica.commit < replica.start_index:
        return ''
    since_reply = {
        peer: seconds_since_reply(replica, peer, now) for peer in replica.peers
    }
    longest = max(replica.peers, key=since_reply.__getitem__, default='')
    return longest if since_reply.get(longest, 0) > UNAVAILABLE_SECONDS else ''


def seconds_since_reply(replica: Replica, name: str, now: float) -> float:
    """Return the seconds since a peer last replied to its leader.

    They count from the leader's election where it has not replied since.
    """
    progress = replica.progress.get(name)
    replied_at = -inf if progress is None else progress.sent_at
    return now - max(replied_at, replica.elected_at)
