"""Generates the table of metrics in docs/OPERATIONS.md.

Run `python -m medlarhoist.ops.metrics_page` after a change of the metrics; it
prints the table.
"""

import sys

from medlarhoist.node.metrics import NODE_METRICS
from medlarhoist.source.metrics import SOURCE_METRICS
from medlarhoist.utils.metrics import CPU_SECONDS, MEMORY_PEAK

GROUPS = (
    ('every process', (CPU_SECONDS, MEMORY_PEAK)),
    ('source', SOURCE_METRICS),
    ('node', NODE_METRICS),
)


def render_table() -> str:
    """Return the table of metrics as Markdown."""
    rows = ['| metric | kind | of | meaning |', '|---|---|---|---|']
    for process, metrics in GROUPS:
        rows.extend(
            f'| `{metric.name}` | {metric.family} | {process} | {metric.doc} |'
            for metric in metrics
        )
    return '\n'.join(rows)


if __name__ == '__main__':
    sys.stdout.write(f'{render_table()}\n')
