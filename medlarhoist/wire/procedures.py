"""Procedures: remote procedures that distribute configurations and membership.

Nodes serve all of them; sources serve only `ATTACH`, `JOIN` and `FLOOR`.
"""

from typing import Final

from medlarhoist.core.floor import FloorReply
from medlarhoist.wire.message import (
    CatchUpReply,
    CatchUpRequest,
    DownMessage,
    Exchange,
    Fetch,
    FloorQuery,
    Join,
    Joined,
    Stage,
    Sync,
    UpMessage,
    Withdraw,
)
from medlarhoist.wire.rpc import Method

# Attaches a child to its parent; the stream stays open.
ATTACH: Final = Method(
    path='/medlarhoist.Distribution/Attach',
    request=UpMessage,
    reply=DownMessage,
    streaming=True,
)
# Returns keeper sets and sources to a starting node.
JOIN: Final = Method(
    path='/medlarhoist.Distribution/Join',
    request=Join,
    reply=Joined,
)
# Returns the versions that a keeper or the leader of the sources holds.
FLOOR: Final = Method(
    path='/medlarhoist.Distribution/Floor',
    request=FloorQuery,
    reply=FloorReply,
)
# Returns a complete snapshot to a keeper that lacks a version.
FETCH: Final = Method(
    path='/medlarhoist.Distribution/Fetch',
    request=Fetch,
    reply=Stage,
)
# Returns the established version to a node of the domain that lacks it.
CATCH_UP: Final = Method(
    path='/medlarhoist.Distribution/CatchUp',
    request=CatchUpRequest,
    reply=CatchUpReply,
)
# Compares membership records within a failure domain.
SYNC: Final = Method(
    path='/medlarhoist.Distribution/Sync',
    request=Sync,
    reply=Sync,
)
# Exchanges summaries of targets between failure domains.
EXCHANGE: Final = Method(
    path='/medlarhoist.Distribution/Exchange',
    request=Exchange,
    reply=Exchange,
)
# Lets a node hold withdrawals, before they are acknowledged to a target.
WITHDRAW: Final = Method(
    path='/medlarhoist.Distribution/Withdraw',
    request=Withdraw,
    reply=Withdraw,
)
