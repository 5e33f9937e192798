"""Load generator: sends a bounded open-loop load and prints a JSON summary.

Requests start on a fixed schedule, independent of earlier ones, and latency is
measured from the scheduled start. Each response is checked to belong to its
request.
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

MAX_LATENCY_US: Final = 60_000_000
_US_PER_SECOND: Final = 1_000_000
_SIGNIFICANT_DIGITS: Final = 3
_PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a load.

    Args:
        addresses: entry addresses (host:port), used in turn.
        paths: paths, used in turn.
        rate: requests per second.
        seconds: duration.
        method: HTTP method.
        headers: extra header lines.
        body_bytes: size of each request's body.
        in_progress: maximum number of concurrent requests; requests above it
            are not sent.
        prefix: prefix of the request ids.
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
    """Results of a load; all numbers without a unit are counts.

    Args:
        sent: requests that were sent.
        whole: complete responses of a target below status 500 that belong to
            their request.
        crossed: mismatched responses, which belong to another request.
        cut: requests without a complete response.
        not_sent: requests for which no connection could be opened, and those
            above the limit of concurrent requests.
        statuses: requests that were sent, by status; 0 without a complete
            response.
        verdicts: responses with a verdict of a node, by verdict (whether the
            target ran the request).
        labels: responses counted as `whole`, by version.
        latency_us: latency percentiles of complete responses below status
            500, microseconds.
        outcomes: outcome of each request by its id: `not-sent`, `cut`, the
            verdict or the status. Printed only with --outcomes.
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


class EchoedRequest(msgspec.Struct):
    """Content of a response of a stand-in target: the request that it ran."""

    id: str
    label: str


class LoadGenerator:
    """Sends one load and collects its results."""

    __slots__ = ('_histogram', '_idle', '_plan', '_summary', '_tasks')

    def __init__(self, plan: Plan) -> None:
        """Prepare the load of a plan."""
        self._plan = plan
        self._summary = Summary()
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self._idle: dict[str, deque[LoadConnection]] = {
            address: deque() for address in plan.addresses
        }
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> Summary:
        """Send all requests, wait for their end and return the results."""
        began = time.perf_counter()
        for number in range(int(self._plan.rate * self._plan.seconds)):
            scheduled = began + number / self._plan.rate
            pause = scheduled - time.perf_counter()
            if pause > 0:
                await asyncio.sleep(pause)
            self._start_request(number, scheduled)
        await asyncio.gather(*self._tasks)
        self._close()
        for percentile in _PERCENTILES:
            value = self._histogram.get_value_at_percentile(percentile)
            self._summary.latency_us[f'p{percentile:g}'] = int(value)
        return self._summary

    def _start_request(self, number: int, scheduled: float) -> None:
        if len(self._tasks) >= self._plan.in_progress:
            self._summary.not_sent += 1
            return
        task = asyncio.get_running_loop().create_task(
            self._send_request(number, scheduled),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_request(self, number: int, scheduled: float) -> None:
        addresses = self._plan.addresses
        address = addresses[number % len(addresses)]
        request_id = f'{self._plan.prefix}-{number}'
        conn = await self._acquire_connection(address)
        if conn is None:
            self._record_result(request_id, NOT_SENT)
            return
        result = await conn.send(self._format_request(number, request_id))
        if conn.is_open:
            self._idle[address].append(conn)
        self._record_result(request_id, result)
        if 0 < result.status < 500:
            latency_us = int((time.perf_counter() - scheduled) * _US_PER_SECOND)
            self._histogram.record_value(min(latency_us, MAX_LATENCY_US))

    async def _acquire_connection(self, address: str) -> LoadConnection | None:
        idle = self._idle[address]
        while idle:
            conn = idle.pop()
            if conn.is_open:
                return conn
        return await open_connection(address)

    def _format_request(self, number: int, request_id: str) -> bytes:
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

    def _record_result(self, request_id: str, result: Result) -> None:
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
            self._check_response(request_id, result)

    def _check_response(self, request_id: str, result: Result) -> None:
        echoed = msgspec.json.decode(
            result.content.rstrip(b'.'),
            type=EchoedRequest,
        )
        if echoed.id != request_id:
            self._summary.crossed += 1
            return
        self._summary.whole += 1
        self._summary.labels[echoed.label] += 1

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
    """Send a load and return its results."""
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
    """Send a bounded open-loop load and print its results as JSON.

    Args:
        address: entry addresses (host:port), used in turn.
        path: paths, used in turn; `/` by default.
        rate: requests per second.
        seconds: duration.
        method: HTTP method.
        header: extra header lines, as 'Name: value'.
        body_bytes: size of each request's body.
        in_progress: maximum number of concurrent requests.
        prefix: prefix of the request ids.
        outcomes: also print the outcome of each request, by id.
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
