"""Tests that docs/OPERATIONS.md lists every metric."""

from pathlib import Path

from medlarhoist.ops.metrics_page import GROUPS, render_table

PAGE = Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md'


def test_the_page_lists_every_metric():
    assert render_table() in PAGE.read_text()


def test_names_are_unique_and_counters_end_in_total():
    metrics = [metric for _, group in GROUPS for metric in group]
    assert len({metric.name for metric in metrics}) == len(metrics)
    for metric in metrics:
        is_counter = metric.family == 'counter'
        assert metric.name.endswith('_total') is is_counter
