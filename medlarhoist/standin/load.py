"""Load: sends a bounded open load and reports how it ended as JSON.

Requests start on a fixed schedule, whatever became of earlier ones, and the
latency of each counts from its scheduled start. Each answer is checked to
belong to its request.
"""

import asyncio
import time
from collections import Counter, deque
from typing import Final

import defopt
import msgspec
from hdrh.histogram import HdrHistogram

from medlarhoist.standin.load_client import (
    NOT_SENT,
    LoadConnection,
    Result,
    open_connection,
)

LONGEST_US: Final = 60_000_000
_US: Final = 1_000_000
_DIGITS: Final = 3
_PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """What to send.

    Args:
        addresses: entry addresses, used in turn.
        paths: paths, used in turn.
        rate: requests a second.
        seconds: how long.
        method: HTTP method.
        headers: extra header lines.
        body_bytes: size of each request's body.
        in_progress: most requests at the same time; others are not sent.
        prefix: start of the request ids.
    """

    addresses: tuple[str, ...]
    paths: tuple[str, ...] = ('/',)
    rate: float = 100.0
    seconds: float = 5.0
    method: str = 'GET'
    headers: tuple[str, ...] = ()
    body_bytes: int = 0
    in_progress: int = 500
    prefix: str = 'load'


class Summary(msgspec.Struct, kw_only=True):
    """How the requests ended.

    Args:
        sent: requests that went out.
        whole: whole answers below status 500.
        crossed: answers that belong to another request.
        cut: requests without a whole answer.
        not_sent: requests for which no connection was had, or that were
            above the bound.
        statuses: answers by status.
        verdicts: refusals by verdict.
        labels: whole answers by version.
        latency_us: percentiles of whole answers, microseconds.
        outcomes: how each request ended, by id; only where asked for.
    """

    sent: int = 0
    whole: int = 0
    crossed: int = 0
    cut: int = 0
    not_sent: int = 0
    statuses: dict[str, int] = msgspec.field(default_factory=Counter)
    verdicts: dict[str, int] = msgspec.field(default_factory=Counter)
    labels: dict[str, int] = msgspec.field(default_factory=Counter)
    latency_us: dict[str, int] = msgspec.field(default_factory=dict)
    outcomes: dict[str, str] = msgspec.field(default_factory=dict)


class Told(msgspec.Struct):
    """What a stand-in target says of a request it ran."""

    id: str
    label: str


class LoadGenerator:
    """A load in progress."""

    __slots__ = ('_histogram', '_idle', '_plan', '_summary', '_tasks')

    def __init__(self, plan: Plan) -> None:
        """Start from a plan."""
        self._plan = plan
        self._summary = Summary()
        self._histogram = HdrHistogram(1, LONGEST_US, _DIGITS)
        self._idle: dict[str, deque[LoadConnection]] = {
            address: deque() for address in plan.addresses
        }
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> Summary:
        """Send the whole load and return how it ended."""
        began = time.perf_counter()
        for number in range(int(self._plan.rate * self._plan.seconds)):
            due = began + number / self._plan.rate
            pause = due - time.perf_counter()
            if pause > 0:
                await asyncio.sleep(pause)
            self._launch(number, due)
        await asyncio.gather(*self._tasks)
        self._close()
        for percentile in _PERCENTILES:
            value = self._histogram.get_value_at_percentile(percentile)
            self._summary.latency_us[f'p{percentile:g}'] = int(value)
        return self._summary

    def _launch(self, number: int, due: float) -> None:
        if len(self._tasks) >= self._plan.in_progress:
            self._summary.not_sent += 1
            return
        task = asyncio.get_running_loop().create_task(
            self._send_one(number, due),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_one(self, number: int, due: float) -> None:
        addresses = self._plan.addresses
        address = addresses[number % len(addresses)]
        request_id = f'{self._plan.prefix}-{number}'
        conn = await self._take(address)
        if conn is None:
            self._note(request_id, NOT_SENT)
            return
        result = await conn.send(self._write(number, request_id))
        if conn.is_open:
            self._idle[address].append(conn)
        self._note(request_id, result)
        if 0 < result.status < 500:
            took = int((time.perf_counter() - due) * _US)
            self._histogram.record_value(min(took, LONGEST_US))

    async def _take(self, address: str) -> LoadConnection | None:
        idle = self._idle[address]
        while idle:
            conn = idle.pop()
            if conn.is_open:
                return conn
        return await open_connection(address)

    def _write(self, number: int, request_id: str) -> bytes:
        plan = self._plan
        path = plan.paths[number % len(plan.paths)]
        lines = [
            f'{plan.method} {path} HTTP/1.1',
            'Host: load',
            f'X-Request-Id: {request_id}',
            *plan.headers,
        ]
        if plan.body_bytes:
            lines.append(f'Content-Length: {plan.body_bytes}')
        head = '\r\n'.join([*lines, '', ''])
        return head.encode() + b'.' * plan.body_bytes

    def _note(self, request_id: str, result: Result) -> None:
        summary = self._summary
        summary.outcomes[request_id] = _name_outcome(result)
        if not result.sent:
            summary.not_sent += 1
            return
        summary.sent += 1
        summary.statuses[str(result.status)] += 1
        if result.status == 0:
            summary.cut += 1
        elif result.verdict:
            summary.verdicts[result.verdict] += 1
        elif result.status < 500:
            self._check(request_id, result)

    def _check(self, request_id: str, result: Result) -> None:
        told = msgspec.json.decode(
            result.content.rstrip(b'.'),
            type=Told,
        )
        if told.id != request_id:
            self._summary.crossed += 1
            return
        self._summary.whole += 1
        self._summary.labels[told.label] += 1

    def _close(self) -> None:
        for idle in self._idle.values():
            for conn in idle:
                conn.close()


def _name_outcome(result: Result) -> str:
    if not result.sent:
        return 'not-sent'
    if result.status == 0:
        return 'cut'
    return result.verdict or str(result.status)


async def run_load(plan: Plan) -> Summary:
    """Send a load and return how it ended."""
    return await LoadGenerator(plan).run()


def main(  # noqa: WPS211  a command's options
    *,
    address: list[str],
    path: list[str] | None = None,
    rate: float = 100.0,
    seconds: float = 5.0,
    method: str = 'GET',
    header: list[str] | None = None,
    body_bytes: int = 0,
    in_progress: int = 500,
    prefix: str = 'load',
    outcomes: bool = False,
) -> None:
    """Send a bounded open load and print how it ended as JSON.

    Args:
        address: entry addresses (host:port), used in turn.
        path: paths, used in turn; `/` where none is given.
        rate: requests a second.
        seconds: how long.
        method: HTTP method.
        header: extra header lines, as 'Name: value'.
        body_bytes: size of each request's body.
        in_progress: most requests at the same time.
        prefix: start of the request ids.
        outcomes: print how each request ended, by id.
    """
    plan = Plan(
        addresses=tuple(address),
        paths=tuple(path or ('/',)),
        rate=rate,
        seconds=seconds,
        method=method,
        headers=tuple(header or ()),
        body_bytes=body_bytes,
        in_progress=in_progress,
        prefix=prefix,
    )
    summary = asyncio.run(run_load(plan))
    if not outcomes:
        summary.outcomes = {}
    print(msgspec.json.encode(summary).decode())  # noqa: WPS421


if __name__ == '__main__':
    defopt.run(main)
