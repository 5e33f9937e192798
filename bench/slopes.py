"""Slopes: measures how costs grow with size and fits a line to each.

Run `python -m bench.slopes` to measure at four sizes and write
bench/slopes.json; `python -m bench.capacity` computes the capacity table
from it.
"""

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import msgspec
from msgspec import Struct, msgpack

from bench import slopes_cases as cases

SLOPES_FILE: Final = Path(__file__).with_name('slopes.json')
REPEATS: Final = 5
SIZES: Final = (200, 400, 800, 1600)
MEMBER_SIZES: Final = (150, 300, 600, 1200)


class Point(Struct, frozen=True, kw_only=True):
    """One measured value at one size."""

    size: float
    value: float


class Slope(Struct, frozen=True, kw_only=True):
    """A line fitted by least squares.

    Args:
        name: what was measured.
        per: what the size counts, such as services.
        unit: unit of the values.
        base: value at size zero.
        slope: growth of the value per unit of size.
        error: largest deviation of a point from the line, as a fraction of
            the largest value.
        points: the measured points.
    """

    name: str
    per: str
    unit: str
    base: float
    slope: float
    error: float
    points: tuple[Point, ...]

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


class Fact(Struct, frozen=True, kw_only=True):
    """One measured value that does not grow with size."""

    name: str
    unit: str
    value: float


class Measurements(Struct, frozen=True, kw_only=True):
    """All measurements of one run, as bench/slopes.json stores them."""

    slopes: tuple[Slope, ...]
    facts: tuple[Fact, ...]

    def slope(self, name: str) -> Slope:
        """Return the slope with a name; StopIteration if there is none."""
        return next(slope for slope in self.slopes if slope.name == name)

    def fact(self, name: str) -> float:
        """Return the value of a fact; StopIteration if there is none."""
        return next(fact.value for fact in self.facts if fact.name == name)


def fit(
    name: str,
    per: str,
    unit: str,
    points: tuple[Point, ...],
) -> Slope:
    """Return the line that fits the points best by least squares.

    At least two points must differ in size.
    """
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_value = sum(point.value for point in points) / count
    size_variation = sum((point.size - mean_size) ** 2 for point in points)
    slope = (
        sum(
            (point.size - mean_size) * (point.value - mean_value)
            for point in points
        )
        / size_variation
    )
    base = mean_value - slope * mean_size
    largest = max(abs(point.value) for point in points) or 1
    error = max(
        abs(point.value - base - slope * point.size) for point in points
    )
    return Slope(
        name=name,
        per=per,
        unit=unit,
        base=base,
        slope=slope,
        error=error / largest,
        points=points,
    )


def processor_ms(run: Callable[[], Any]) -> float:
    """Return the least processor time of several runs, in milliseconds."""
    best = float('inf')
    for _ in range(REPEATS):
        gc.collect()
        started = time.process_time()
        run()
        best = min(best, time.process_time() - started)
    return best * 1000


def held_kb(create: Callable[[], Any]) -> float:
    """Return the memory that a created object holds, in kilobytes."""
    gc.collect()
    tracemalloc.start()
    held = create()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held  # noqa: WPS420  referenced until measured
    return size / 1024


def encoded_bytes(record: Any) -> float:
    """Return the length of a record encoded as MessagePack, in bytes."""
    return float(len(msgpack.encode(record)))


def _measure(
    name: str,
    unit: str,
    per: str,
    sizes: tuple[int, ...],
    value_at: Callable[[int], float],
) -> Slope:
    points = tuple(Point(size=size, value=value_at(size)) for size in sizes)
    slope = fit(name, per, unit, points)
    line = f'{slope.base:12.3f} + {slope.slope:10.6f} {unit}/{per}'
    sys.stdout.write(f'{name:28} {line}  error {slope.error:.1%}\n')
    return slope


def measure_services() -> tuple[Slope, ...]:
    """Measure the costs that grow with the number of services."""
    rows = (
        ('snapshot bytes', 'B', lambda n: encoded_bytes(cases.snapshot(n))),
        ('compiled memory', 'KB', lambda n: held_kb(cases.make_compiled(n))),
        ('compile whole', 'ms', lambda n: processor_ms(cases.make_compile(n))),
        (
            'compile change',
            'ms',
            lambda n: processor_ms(cases.make_compile_next(n)),
        ),
        (
            'delta apply',
            'ms',
            lambda n: processor_ms(cases.make_delta_apply(n)),
        ),
        (
            'delta encode',
            'ms',
            lambda n: processor_ms(cases.make_delta_encode(n)),
        ),
        ('delta bytes', 'B', lambda n: float(cases.delta_length(n))),
        ('state bytes', 'B', lambda n: encoded_bytes(cases.state(n))),
        (
            'state encode',
            'ms',
            lambda n: processor_ms(cases.make_state_encode(n)),
        ),
        ('admission', 'ms', lambda n: processor_ms(cases.make_admission(n))),
    )
    return tuple(
        _measure(name, unit, 'service', SIZES, value_at)
        for name, unit, value_at in rows
    )


def measure_members() -> tuple[Slope, ...]:
    """Measure the costs that grow with the nodes of a failure domain."""
    rows = (
        ('member memory', 'KB', lambda n: held_kb(cases.make_membership(n))),
        ('registry index', 'ms', lambda n: processor_ms(cases.make_index(n))),
        ('summary bytes', 'B', lambda n: encoded_bytes(cases.summary(n))),
        ('summary memory', 'KB', lambda n: held_kb(cases.make_summary(n))),
        (
            'summary decode',
            'ms',
            lambda n: processor_ms(cases.make_summary_decode(n)),
        ),
    )
    return tuple(
        _measure(name, unit, 'member', MEMBER_SIZES, value_at)
        for name, unit, value_at in rows
    )


def measure_facts() -> tuple[Fact, ...]:
    """Measure the values that do not grow with size."""
    modules = ('medlarhoist.node.proxy', 'medlarhoist.node.app')
    proxy_kb, node_kb = (cases.import_resident_kb(name) for name in modules)
    facts = (
        Fact(name='proxy alone', unit='KB', value=proxy_kb),
        Fact(name='node imported', unit='KB', value=node_kb),
        Fact(
            name='command bytes',
            unit='B',
            value=encoded_bytes(cases.one_route_command()),
        ),
    )
    for fact in facts:
        sys.stdout.write(f'{fact.name:28} {fact.value:12.1f} {fact.unit}\n')
    return facts


def read_measurements() -> Measurements:
    """Return the measurements stored in bench/slopes.json."""
    return msgspec.json.decode(SLOPES_FILE.read_bytes(), type=Measurements)


def main() -> None:
    """Measure everything and write bench/slopes.json."""
    from bench.slopes_processes import measure_processes  # noqa: PLC0415

    slopes = (*measure_services(), *measure_members(), *measure_processes())
    measured = Measurements(slopes=slopes, facts=measure_facts())
    body = msgspec.json.format(msgspec.json.encode(measured))
    SLOPES_FILE.write_bytes(b'%b\n' % body)


if __name__ == '__main__':
    main()
