"""Calls node: a process with one proxy and a fixed configuration.

The bench of calls and the tests that kill nodes start it.
"""

import asyncio
import os

import defopt
import msgspec

from bench.calls_static import (
    DEFAULT_SLOTS,
    LABEL,
    SERVICE,
    CountingRecorder,
    StaticConfiguration,
    StaticLimiter,
    StaticRegistry,
    compile_sample,
    create_settings,
    create_target,
)
from medlarhoist.core.target import Target, TargetNotice, TargetPhase
from medlarhoist.node.proxy import create_proxy
from medlarhoist.utils.loop import run_until_stopped

DOMAIN = 'a'


class NodeStarted(msgspec.Struct, frozen=True, kw_only=True):
    """What a started node prints.

    Args:
        pid: process id of the node.
        entry: address for callers.
        peer: address for other nodes.
    """

    pid: int
    entry: str
    peer: str


async def serve(
    name: str,
    target_port: int,
    peers: list[str],
    slots: int,
) -> None:
    """Run a node until SIGTERM; see main for the arguments."""
    cfg = create_settings(name, DOMAIN)
    local_target = create_target(cfg, slots=slots)
    targets: tuple[Target, ...] = (local_target,)
    if peers:
        targets = tuple(
            msgspec.structs.replace(local_target, address=peer)
            for peer in peers
        )
    proxy = create_proxy(
        cfg,
        StaticConfiguration(compile_sample(slots=slots)),
        StaticRegistry(targets),
        CountingRecorder(),
        StaticLimiter(),
    )
    await proxy.start()
    if target_port:
        notice = TargetNotice(
            service=SERVICE,
            label=LABEL,
            port=target_port,
            slots=slots,
            phase=TargetPhase.READY,
        )
        proxy.set_local_target(notice)
    started = NodeStarted(pid=os.getpid(), entry=cfg.entry, peer=cfg.peer)
    print(msgspec.json.encode(started).decode(), flush=True)  # noqa: WPS421
    await run_until_stopped(proxy.stop)


def main(
    *,
    name: str,
    target_port: int = 0,
    peer: list[str] | None = None,
    slots: int = DEFAULT_SLOTS,
) -> None:
    """Run a node until SIGTERM; print NodeStarted as JSON once it listens.

    Args:
        name: name of the node.
        target_port: port of the target beside it; zero for none.
        peer: peer addresses of the nodes that it sends calls to; none for its
            own target.
        slots: slots of the target beside it.
    """
    asyncio.run(serve(name, target_port, peer or [], slots))


if __name__ == '__main__':
    defopt.run(main)
