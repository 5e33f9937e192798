"""Names that the platform uses in headers, paths and bodies."""

import re
from typing import Final

from medlarhoist.core.command import MovePhase
from medlarhoist.core.header_names import HeaderNames
from medlarhoist.core.target import TargetPhase

PREFIX: Final = '/medlarhoist'
READY_PATH: Final = f'{PREFIX}/ready'
PUT_CONFIGURATION_PATH: Final = f'{PREFIX}/config/put'
GET_CONFIGURATION_PATH: Final = f'{PREFIX}/config/get'
START_MOVE_PATH: Final = f'{PREFIX}/rollouts/start'
MOVE_PATH: Final = re.compile(f'{PREFIX}/rollouts/([^/]+)/get')
DRAIN_PATH: Final = re.compile(f'{PREFIX}/evacuations/([^/]+)/(start|end)')
HEARTBEAT_PATH: Final = re.compile(f'{PREFIX}/instances/([^/]+)/heartbeat')
LEAVE_PATH: Final = re.compile(f'{PREFIX}/instances/([^/]+)/deregister')
MISDIRECTED_STATUS: Final = 421

HEADER_NAMES: Final = HeaderNames(
    deadline=b'x-deadline-ms',
    request_id=b'x-attempt-id',
    origin=b'x-caller-service',
    expected_target=b'x-expected-instance',
    # Observed on the wire but not documented: the id of a call that a running
    # request makes is that request's id, a dot and a suffix.
    nesting='.',
    refusal=b'x-not-executed',
    refusal_statuses=frozenset((MISDIRECTED_STATUS,)),
    rate_limit=b'server-limit',
    leaving=b'server-leaving',
    credential=b'authorization',
    credential_scheme=b'token',
    account=b'x-tenant',
)

# No state means warming: a target that is still slow after its start reports
# ready, as it accepts calls.
TARGET_PHASES: Final = {
    'ready': TargetPhase.READY,
    'draining': TargetPhase.DRAINING,
}
MOVE_STATES: Final = {
    MovePhase.RUNNING: 'running',
    MovePhase.COMPLETED: 'completed',
    MovePhase.ROLLED_BACK: 'rolled_back',
}
IDEMPOTENT_ROUTE_TYPES: Final = frozenset(('idempotent', 'download'))
NON_IDEMPOTENT_ROUTE_TYPES: Final = frozenset(('non_idempotent', 'upload'))
