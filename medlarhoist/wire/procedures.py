"""Procedures: the remote procedures of the distribution of configurations."""

from typing import Final

from medlarhoist.core.floor import FloorReply
from medlarhoist.wire.message import (
    Down,
    Exchange,
    Fetch,
    FloorQuery,
    Join,
    Joined,
    Stage,
    Sync,
    UpMessage,
)
from medlarhoist.wire.rpc import Method

ATTACH: Final = Method(
    path='/medlarhoist.Distribution/Attach',
    request=UpMessage,
    reply=Down,
    streaming=True,
)
JOIN: Final = Method(
    path='/medlarhoist.Distribution/Join',
    request=Join,
    reply=Joined,
)
FLOOR: Final = Method(
    path='/medlarhoist.Distribution/Floor',
    request=FloorQuery,
    reply=FloorReply,
)
FETCH: Final = Method(
    path='/medlarhoist.Distribution/Fetch',
    request=Fetch,
    reply=Stage,
)
SYNC: Final = Method(
    path='/medlarhoist.Distribution/Sync',
    request=Sync,
    reply=Sync,
)
EXCHANGE: Final = Method(
    path='/medlarhoist.Distribution/Exchange',
    request=Exchange,
    reply=Exchange,
)
