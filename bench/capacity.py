"""Capacity: computes the tables of docs/CAPACITY.md from measured slopes.

Run `python -m bench.capacity` to rewrite the tables of the page from
bench/slopes.json, or with `--check` to exit with 1 if the page differs.
"""

import math
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Final

from msgspec import Struct

from bench.slopes import Measurements, read_measurements

PAGE: Final = Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
TABLES_BEGIN: Final = '<!-- table: python -m bench.capacity -->'
TABLES_END: Final = '<!-- end of table -->'

INSTANCES: Final = 17_000
INSTANCES_PER_SERVICE: Final = 10
DOMAINS: Final = 15
CHANGES_PER_DAY: Final = 27_000
RESTARTS_PER_INSTANCE_DAY: Final = 5_500 / INSTANCES
NOTICES_PER_RESTART: Final = 2
PEAK_FACTOR: Final = 10
DAY_SECONDS: Final = 86_400
KEEPERS: Final = 3
MEASURED_KEEPERS: Final = 3
FAN_OUT: Final = 16
SOURCES: Final = 5
REGION_ONE_WAY_MS: Final = 50
COMMIT_ROUNDS: Final = 2
KB: Final = 1024

CONVERGE_BUDGET_S: Final = 19
NODE_CORE_BUDGET: Final = 3.5
NODE_MEMORY_BUDGET_MB: Final = 32
NODE_BYTES_BUDGET_KB: Final = 20
BLOCKED_BUDGET: Final = 1
VM_BUDGET: Final = 17
MAX_SCALE_STEPS: Final = 60
SCALE_STEP: Final = 1.15


class Size(Struct, frozen=True, kw_only=True):
    """A size of the mesh; all other quantities grow with the instances."""

    instances: float
    changes_per_day: float

    @property
    def services(self) -> float:
        """Return the number of services."""
        return self.instances / INSTANCES_PER_SERVICE

    @property
    def domain_nodes(self) -> float:
        """Return the number of nodes of one failure domain."""
        return self.instances / DOMAINS

    @property
    def changes_per_second(self) -> float:
        """Return the mean rate of configuration changes."""
        return self.changes_per_day / DAY_SECONDS

    @property
    def notices_per_second(self) -> float:
        """Return the mean rate of notices of targets that start or stop."""
        restarts = self.instances * RESTARTS_PER_INSTANCE_DAY
        return restarts * NOTICES_PER_RESTART / DAY_SECONDS

    @property
    def tree_depth(self) -> int:
        """Return the number of levels below the keepers of a domain's tree."""
        return max(1, math.ceil(math.log(self.domain_nodes, FAN_OUT)))


class Row(Struct, frozen=True, kw_only=True):
    """One line of the table.

    Args:
        role: source, node, link, or all.
        what: the cost.
        unit: unit of the cost.
        budget: required upper bound of the cost, zero for none.
        compute: returns the cost at a size.
        mechanism: design choices that determine the cost.
    """

    role: str
    what: str
    unit: str
    budget: float
    compute: Callable[[Measurements, Size], float]
    mechanism: str


CURRENT_SIZE: Final = Size(instances=INSTANCES, changes_per_day=CHANGES_PER_DAY)


def node_memory_mb(measured: Measurements, size: Size) -> float:
    """Return the control memory of a node in MB, beyond the proxy alone."""
    code = measured.fact('node imported') - measured.fact('proxy alone')
    versions = 2 * measured.slope('compiled memory').at(size.services)
    members = measured.slope('member memory').at(size.domain_nodes)
    summary = measured.slope('summary memory').at(size.domain_nodes)
    return (code + versions + members + (DOMAINS - 1) * summary) / KB


def node_blocked_percent(measured: Measurements, size: Size) -> float:
    """Return the % of time that control blocks calls on the one thread."""
    change = measured.slope('compile change').at(size.services)
    change += measured.slope('delta apply').at(size.services)
    index = measured.slope('registry index').at(size.instances)
    read = measured.slope('summary decode').at(size.domain_nodes)
    notice = (index + read) * size.notices_per_second
    return (change * size.changes_per_second + notice) / 10


def node_core_percent(measured: Measurements, size: Size) -> float:
    """Return the mean control processor time of a node, % of a core."""
    idle = measured.slope('idle node processor').at(0)
    return idle + node_blocked_percent(measured, size)


def node_peak_percent(measured: Measurements, size: Size) -> float:
    """Return the same at PEAK_FACTOR times the changes and restarts."""
    idle = measured.slope('idle node processor').at(0)
    return idle + node_blocked_percent(measured, size) * PEAK_FACTOR


def node_bytes_kb(measured: Measurements, size: Size) -> float:
    """Return the mean rate of control bytes that a node sends, KB a second."""
    idle = measured.slope('idle node bytes')
    steady = max(point.value for point in idle.points)
    change = measured.slope('node bytes a change')
    delta = max(point.value for point in change.points)
    summary = measured.slope('summary bytes').at(size.domain_nodes)
    changes = delta * size.changes_per_second
    return (steady + changes + summary * size.notices_per_second) / KB


def source_core_percent(measured: Measurements, size: Size) -> float:
    """Return the processor time of the leading source, % of a core."""
    per_change = measured.slope('source processor a change').at(0)
    per_change *= KEEPERS * DOMAINS / MEASURED_KEEPERS
    admission = measured.slope('admission').at(size.services)
    encode = measured.slope('delta encode').at(size.services)
    total = per_change + admission + encode
    return total * size.changes_per_second / 10


def source_bytes_kb(measured: Measurements, size: Size) -> float:
    """Return the bytes that the leading source sends, in KB a second."""
    keepers = KEEPERS * DOMAINS / MEASURED_KEEPERS
    change = measured.slope('source bytes a change').at(0) * keepers
    command = measured.fact('command bytes') * (SOURCES - 1) * COMMIT_ROUNDS
    return (change + command) * size.changes_per_second / KB


def source_state_mb(measured: Measurements, size: Size) -> float:
    """Return the length of the replicated state in a snapshot, in MB."""
    return measured.slope('state bytes').at(size.services) / KB / KB


def source_log_mb(measured: Measurements, size: Size) -> float:
    """Return the length of the log of one day before compaction, in MB."""
    entries = measured.fact('command bytes') * COMMIT_ROUNDS
    return entries * size.changes_per_day / KB / KB


def region_bytes_kb(measured: Measurements, size: Size) -> float:
    """Return the KB a second on the link to a region of four domains."""
    change = measured.slope('source bytes a change').at(0) * 4
    summary = measured.slope('summary bytes').at(size.domain_nodes)
    pairs = 4 * (DOMAINS - 4)
    summaries = summary * size.notices_per_second / DOMAINS * pairs
    return (change * size.changes_per_second + summaries) / KB


def converge_seconds(measured: Measurements, size: Size) -> float:
    """Return the seconds from staged to in force at the last node.

    Assumes that all sources and nodes are available.
    """
    compile_ms = measured.slope('compile change').at(size.services)
    compile_ms += measured.slope('delta apply').at(size.services)
    hop = compile_ms + REGION_ONE_WAY_MS / size.tree_depth
    down_and_up = 2 * size.tree_depth * hop
    commits = COMMIT_ROUNDS * 2 * REGION_ONE_WAY_MS
    measured_ms = max(
        point.value for point in measured.slope('convergence').points
    )
    return (2 * down_and_up + commits + measured_ms) / 1000


def domain_restart_mb(measured: Measurements, size: Size) -> float:
    """Return the MB that a parent sends its children after a domain restart."""
    snapshot = measured.slope('snapshot bytes').at(size.services)
    summaries = measured.slope('summary bytes').at(size.domain_nodes)
    return FAN_OUT * (snapshot + (DOMAINS - 1) * summaries) / KB / KB


def reserved_vms(measured: Measurements, size: Size) -> float:
    """Return the number of VMs set aside; only sources need their own."""
    return float(SOURCES)


ROWS: Final = (
    Row(
        role='node',
        what='control memory',
        unit='MB',
        budget=NODE_MEMORY_BUDGET_MB,
        compute=node_memory_mb,
        mechanism='two compiled versions, members of the own domain, bounded '
        'summaries of the others',
    ),
    Row(
        role='node',
        what='control processor, ordinary day',
        unit='% core',
        budget=NODE_CORE_BUDGET,
        compute=node_core_percent,
        mechanism='one probe a second, deltas, compile of what changed',
    ),
    Row(
        role='node',
        what='control processor, peak of 10 times',
        unit='% core',
        budget=NODE_CORE_BUDGET,
        compute=node_peak_percent,
        mechanism='the same',
    ),
    Row(
        role='node',
        what='calls that wait for control',
        unit='% of time',
        budget=BLOCKED_BUDGET,
        compute=node_blocked_percent,
        mechanism='compile of what changed; the index is whole',
    ),
    Row(
        role='node',
        what='control bytes sent',
        unit='KB/s',
        budget=NODE_BYTES_BUDGET_KB,
        compute=node_bytes_kb,
        mechanism='deltas down the tree, piggybacked membership, summaries',
    ),
    Row(
        role='node',
        what='sent by a parent when its domain restarts',
        unit='MB',
        budget=0,
        compute=domain_restart_mb,
        mechanism='bounded fan-out, admission and jittered delay',
    ),
    Row(
        role='source',
        what='leader processor',
        unit='% core',
        budget=0,
        compute=source_core_percent,
        mechanism='pushes to keepers only',
    ),
    Row(
        role='source',
        what='leader bytes sent',
        unit='KB/s',
        budget=0,
        compute=source_bytes_kb,
        mechanism='deltas to keepers, log entries to sources',
    ),
    Row(
        role='source',
        what='replicated state',
        unit='MB',
        budget=0,
        compute=source_state_mb,
        mechanism='durable snapshots, bounded request ids and events',
    ),
    Row(
        role='source',
        what='log of a day',
        unit='MB',
        budget=0,
        compute=source_log_mb,
        mechanism='compaction after a snapshot',
    ),
    Row(
        role='link',
        what='into one region of four domains',
        unit='KB/s',
        budget=0,
        compute=region_bytes_kb,
        mechanism='one push a keeper, summaries between keepers',
    ),
    Row(
        role='all',
        what='staged to in force on the last node',
        unit='s',
        budget=CONVERGE_BUDGET_S,
        compute=converge_seconds,
        mechanism='tree of fan-out 16, two commits, 50 ms between regions',
    ),
    Row(
        role='all',
        what='VMs set aside',
        unit='',
        budget=VM_BUDGET,
        compute=reserved_vms,
        mechanism='keepers and trees live in the nodes',
    ),
)


def size_at_budget(measured: Measurements, row: Row) -> float:
    """Return the number of instances at which a row exceeds its budget.

    Infinity if none of the sizes tried, in steps of SCALE_STEP, exceeds it.
    """
    scale = 1 / SCALE_STEP**20
    for _ in range(MAX_SCALE_STEPS):
        size = Size(
            instances=INSTANCES * scale,
            changes_per_day=CHANGES_PER_DAY * scale,
        )
        if row.compute(measured, size) > row.budget:
            return size.instances
        scale *= SCALE_STEP
    return math.inf


def format_table(measured: Measurements) -> str:
    """Return the table of costs and budgets in Markdown."""
    lines = [
        '| Role | Cost | At 17,000 | Budget | Reaches its budget at '
        '| Carried by |',
        '|---|---|---|---|---|---|',
    ]
    for row in ROWS:
        value = row.compute(measured, CURRENT_SIZE)
        lines.append(_format_row(measured, row, value))
    return '\n'.join(lines)


def _format_row(measured: Measurements, row: Row, value: float) -> str:
    budget = f'{row.budget:g} {row.unit}' if row.budget else '-'
    reached_at = '-'
    if row.budget:
        size = size_at_budget(measured, row)
        reached_at = 'far off' if math.isinf(size) else f'{size:,.0f} instances'
    cells = (
        row.role,
        row.what,
        f'{value:.3g} {row.unit}',
        budget,
        reached_at,
        row.mechanism,
    )
    return f'| {" | ".join(cell.strip() for cell in cells)} |'


def format_slopes(measured: Measurements) -> str:
    """Return the table of slopes and facts in Markdown."""
    lines = ['| Measured | At size 0 | Slope | Error |', '|---|---|---|---|']
    for slope in measured.slopes:
        lines.append(
            f'| {slope.name} | {slope.base:.4g} {slope.unit} '
            f'| {slope.slope:.4g} {slope.unit} a {slope.per} '
            f'| {slope.error:.1%} |',
        )
    for fact in measured.facts:
        lines.append(f'| {fact.name} | {fact.value:.4g} {fact.unit} | - | - |')
    return '\n'.join(lines)


def update_tables(page: str, measured: Measurements) -> str:
    """Return the page with the tables between its markers computed anew."""
    head, _, rest = page.partition(TABLES_BEGIN)
    _, _, tail = rest.partition(TABLES_END)
    tables = f'{format_table(measured)}\n\n{format_slopes(measured)}'
    return f'{head}{TABLES_BEGIN}\n\n{tables}\n\n{TABLES_END}{tail}'


def main() -> int:
    """Rewrite the page, or compare it with --check; return the exit code."""
    page = PAGE.read_text()
    updated = update_tables(page, read_measurements())
    if '--check' in sys.argv[1:]:
        return 0 if updated == page else 1
    PAGE.write_text(updated)
    return 0


if __name__ == '__main__':
    sys.exit(main())
