"""Metrics of a process in the Prometheus text format.

Components hold their own counters. Each GET /metrics reads them as samples,
which aioprometheus renders; docs/OPERATIONS.md lists the metrics.
"""

import resource
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Final

from aioprometheus.collectors import Collector, Counter, Gauge, Registry
from aioprometheus.renderer import render
from msgspec import Struct

CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'
PREFIX: Final = 'medlarhoist_'


class Family(StrEnum):
    """Prometheus metric types in use."""

    COUNTER = 'counter'
    GAUGE = 'gauge'


class Metric(Struct, frozen=True, kw_only=True):
    """Definition of a metric.

    Args:
        name: name with its unit, without PREFIX; counters end in _total.
        doc: help text in one short sentence, served with the metric.
        family: counter or gauge.
    """

    name: str
    doc: str
    family: Family = Family.GAUGE


class Sample(Struct, frozen=True, kw_only=True):
    """Current value of a metric for one set of labels.

    Args:
        metric: definition of the metric.
        number: current value.
        labels: label values by label name.
    """

    metric: Metric
    number: float
    labels: dict[str, str] = {}


ListSamples = Callable[[], Iterable[Sample]]

CPU_SECONDS: Final = Metric(
    name='process_cpu_seconds_total',
    doc='Processor time of this process, user and system.',
    family=Family.COUNTER,
)
MEMORY_PEAK: Final = Metric(
    name='process_memory_peak_kilobytes',
    doc='Largest resident memory of this process.',
)
_COLLECTORS: Final = {Family.COUNTER: Counter, Family.GAUGE: Gauge}


class Metrics:
    """Collects and renders the samples of one process."""

    __slots__ = ('_sample_functions',)

    def __init__(self) -> None:
        """Start with the resource usage of the process; see create_metrics."""
        self._sample_functions: list[ListSamples] = [list_process_samples]

    def add(self, list_samples: ListSamples) -> None:
        """Register a function that returns its samples at each rendering."""
        self._sample_functions.append(list_samples)

    def render(self) -> bytes:
        """Return all samples in the Prometheus text format."""
        registry = Registry()
        collectors: dict[str, Collector] = {}
        for list_samples in self._sample_functions:
            for sample in list_samples():
                metric = sample.metric
                collector = collectors.get(metric.name)
                if collector is None:
                    collector = _create_collector(metric, registry)
                    collectors[metric.name] = collector
                collector.set_value(sample.labels, sample.number)
        body, _ = render(registry, [])
        return body


def create_metrics() -> Metrics:
    """Return metrics that hold only the resource usage of the process."""
    return Metrics()


def list_process_samples() -> tuple[Sample, ...]:
    """Return the processor time and peak memory of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    seconds = usage.ru_utime + usage.ru_stime
    return (
        Sample(metric=CPU_SECONDS, number=seconds),
        Sample(metric=MEMORY_PEAK, number=usage.ru_maxrss),
    )


def _create_collector(metric: Metric, registry: Registry) -> Collector:
    create = _COLLECTORS[metric.family]
    return create(f'{PREFIX}{metric.name}', metric.doc, registry=registry)
