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
from msgspec.structs import replace

from medlarhoist.consensus.message import (
    Append,
    Event,
    InstallSnapshot,
    Message,
    Unwritable,
)
from medlarhoist.consensus.replica import Replica, Role, pending_admission

# A standby must be a voting member within four seconds of a failure, which
# includes one second to replicate the log.
UNAVAILABLE_SECONDS: Final = 2.5
# A full disk mostly has room again within seconds. A replacement copies the
# whole log, and leaves the group without the vote of the slot meanwhile.
UNWRITABLE_SECONDS: Final = 10.0


class MembershipRequest(Struct, frozen=True, kw_only=True):
    """Asks for the membership of a source that no leader contacts.

    Args:
        endpoint: control and API address of the source.
        name: name of its member slot, empty for a standby.
        incarnation: identity of its data folder, empty for a standby.
        is_writable: whether its disk takes writes.
    """

    endpoint: str = field(name='place')
    name: str = ''
    incarnation: str = ''
    is_writable: bool = True


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


class Route(Struct, frozen=True):
    """A standby that gets the messages for a slot until it is admitted.

    Args:
        endpoint: its address.
        since: when it got the slot, seconds of the leader's clock.
    """

    endpoint: str
    since: float


Routes = dict[str, Route]
_NO_ROUTE: Final = Route('', -inf)


class Addresses(Struct, frozen=True, kw_only=True):
    """Where a leader reaches the members, by name.

    Args:
        members: endpoint of each member slot, from the settings and from the
            committed admissions.
        standbys: the standby that is about to get a slot.
    """

    members: dict[str, str]
    standbys: Routes

    def leads_to(self, endpoint: str, name: str) -> bool:
        """Return whether a slot is reached at an endpoint.

        That is the endpoint of its member, or of the standby that is about to
        get it.

        Args:
            endpoint: address of a source.
            name: name of the member slot.
        """
        standby = self.standbys.get(name, _NO_ROUTE)
        return endpoint in {self.members.get(name), standby.endpoint}


class Decision(Struct, frozen=True):
    """What a leader decides on a MembershipRequest.

    Args:
        name: member slot that the source gets or holds; empty for none.
        is_retired: whether its data folder has been replaced for good.
        standbys: `Addresses.standbys` from now on.
    """

    name: str
    is_retired: bool
    standbys: Routes


def report_unwritable(replica: Replica, event: Event) -> tuple[Message, ...]:
    """Return what to send when the write for an event was refused.

    A leader that gets no reply can't tell a full disk from a failed source.
    """
    if not isinstance(event, Append | InstallSnapshot):
        return ()
    return (
        Unwritable(
            sender=replica.name,
            receiver=event.sender,
            incarnation=replica.incarnation,
        ),
    )


def receive_unwritable(
    replica: Replica, notice: Unwritable, now: float
) -> Replica:
    """Record that a peer is up, but cannot write."""
    progress = replica.progress.get(notice.sender)
    if progress is None or progress.incarnation != notice.incarnation:
        return replica
    since = min(progress.unwritable_since, now)
    progress = replace(progress, unwritable_at=now, unwritable_since=since)
    return replace(
        replica, progress={**replica.progress, notice.sender: progress}
    )


def decide_membership(
    replica: Replica,
    request: MembershipRequest,
    addresses: Addresses,
    now: float,
) -> Decision:
    """Decide on the request of a source that no leader contacts.

    Call this on a leader only, after a read barrier: another replica may not
    hold the newest admission yet.

    Args:
        replica: the leader.
        request: the request.
        addresses: where the leader reaches the members.
        now: seconds of the monotonic clock.
    """
    standbys = addresses.standbys
    if not request.name:
        name = choose_member_slot(replica, request, addresses, now)
        if name and standbys.get(name, _NO_ROUTE).endpoint != request.endpoint:
            standbys = {**standbys, name: Route(request.endpoint, now)}
        return Decision(name, is_retired=False, standbys=standbys)
    if request.name not in replica.voters:
        return Decision('', is_retired=False, standbys=standbys)
    if is_retired(replica, request, addresses, now):
        return Decision('', is_retired=True, standbys=standbys)
    if pending_admission(replica) != request.name:
        standbys = _route_to(replica, request, addresses, now)
    return Decision(request.name, is_retired=False, standbys=standbys)


def is_retired(
    replica: Replica,
    request: MembershipRequest,
    addresses: Addresses,
    now: float,
) -> bool:
    """Return whether the source's member slot belongs to another source.

    A voting data folder is never retired. Any other is once its endpoint is
    none of those that the leader reaches the slot at, unless the slot has
    become free again.

    Args:
        replica: the leader.
        request: the request of a source with a slot.
        addresses: where the leader reaches the members.
        now: seconds of the monotonic clock.
    """
    name = request.name
    if replica.voters[name] == request.incarnation:
        return False
    if addresses.leads_to(request.endpoint, name):
        return False
    is_free = name not in addresses.standbys and name in replica.peers
    if is_free and is_replaceable(replica, name, now):
        return False
    return pending_admission(replica) != name


def _route_to(
    replica: Replica,
    request: MembershipRequest,
    addresses: Addresses,
    now: float,
) -> Routes:
    """Return the standbys once a source with a slot has asked for itself.

    A voting member that has returned and can write gets the messages for its
    slot again, and so does a standby that the leader did not know of.
    """
    name = request.name
    if replica.voters[name] == request.incarnation and request.is_writable:
        others = dict(addresses.standbys)
        others.pop(name, None)
        return others
    if addresses.leads_to(request.endpoint, name):
        return addresses.standbys
    return {**addresses.standbys, name: Route(request.endpoint, now)}


def choose_member_slot(
    replica: Replica,
    request: MembershipRequest,
    addresses: Addresses,
    now: float,
) -> str:
    """Return the name of the member slot for a standby, empty for none.

    That is the slot that has the endpoint of the standby, as when a source
    restarts with an empty data folder; else the slot of the replaceable peer
    with the longest time since its last reply. The latter waits until no
    admission is pending and the leader has committed an entry of its term,
    and until a standby that got the slot has had time to reply.

    Args:
        replica: the leader; another replica reassigns no slot.
        request: the request of the standby.
        addresses: where the leader reaches the members.
        now: seconds of the monotonic clock.
    """
    if replica.role is not Role.LEADER:
        return ''
    standbys = addresses.standbys
    same_endpoint = [
        peer
        for peer in replica.peers
        if addresses.leads_to(request.endpoint, peer)
    ]
    if same_endpoint:
        return same_endpoint[0]
    pending = pending_admission(replica)
    if pending is not None or replica.commit < replica.start_index:
        return ''
    since_reply = {
        peer: seconds_since_reply(replica, peer, now)
        for peer in replica.peers
        if is_replaceable(replica, peer, now)
        and now - standbys.get(peer, _NO_ROUTE).since > UNAVAILABLE_SECONDS
    }
    return max(since_reply, key=since_reply.__getitem__, default='')


def is_replaceable(replica: Replica, name: str, now: float) -> bool:
    """Return whether a standby may get the member slot of a peer.

    One that is up and reports that its disk refuses writes is awaited for
    longer than one that doesn't reply at all. It may still reply that it
    lacks entries, which needs no write.

    Args:
        replica: the leader.
        name: name of the peer.
        now: seconds of the monotonic clock.
    """
    progress = replica.progress.get(name)
    if progress and now - progress.unwritable_at <= UNAVAILABLE_SECONDS:
        return now - progress.unwritable_since > UNWRITABLE_SECONDS
    return seconds_since_reply(replica, name, now) > UNAVAILABLE_SECONDS


def seconds_since_reply(replica: Replica, name: str, now: float) -> float:
    """Return the seconds since a peer last replied to its leader.

    They count from the leader's election where it has not replied since.
    """
    progress = replica.progress.get(name)
    replied_at = -inf if progress is None else progress.sent_at
    return now - max(replied_at, replica.elected_at)
