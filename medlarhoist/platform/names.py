"""Names: the words of the platform that stand in headers, paths and bodies."""

import re
from typing import Final

from medlarhoist.core.command import MovePhase
from medlarhoist.core.header_names import Dialect
from medlarhoist.core.target import TargetPhase

PREFIX: Final = '/medlarhoist'
READY_PATH: Final = f'{PREFIX}/ready'
PUT_CONFIGURATION_PATH: Final = f'{PREFIX}/config/put'
GET_CONFIGURATION_PATH: Final = f'{PREFIX}/config/get'
START_MOVE_PATH: Final = f'{PREFIX}/rollouts/start'
MOVE_PATH: Final = re.compile(f'{PREFIX}/rollouts/([^/]+)/get')
HEARTBEAT_PATH: Final = re.compile(f'{PREFIX}/instances/([^/]+)/heartbeat')
LEAVE_PATH: Final = re.compile(f'{PREFIX}/instances/([^/]+)/deregister')
MISDIRECTED_STATUS: Final = 421

DIALECT: Final = Dialect(
    deadline=b'x-deadline-ms',
    request_id=b'x-attempt-id',
    origin=b'x-caller-service',
    expected_target=b'x-expected-instance',
    # Seen on the wire, though no page says so: a call of a running request has
    # that request's id, a dot and an id of its own.
    nesting='.',
    refusal=b'x-not-executed',
    refusal_statuses=frozenset((MISDIRECTED_STATUS,)),
)

# A target that is only slow at first is not warming: it takes calls.
TARGET_PHASES: Final = {
    'ready': TargetPhase.READY,
    'draining': TargetPhase.DRAINING,
}
MOVE_STATES: Final = {
    MovePhase.RUNNING: 'running',
    MovePhase.COMPLETED: 'completed',
    MovePhase.ROLLED_BACK: 'rolled_back',
}
REPEATABLE_KINDS: Final = frozenset(('idempotent', 'download'))
SINGLE_KINDS: Final = frozenset(('non_idempotent',))
