"""Decodes heartbeats and leaves of instances into notices of targets."""

from msgspec import Struct, ValidationError, convert, field, json
from result import Err, Ok, Result

from medlarhoist.core.target import TargetNotice
from medlarhoist.platform.names import TARGET_PHASES
from medlarhoist.utils.web import JSON_ERRORS


class _Heartbeat(Struct, kw_only=True):
    """The fields of a heartbeat's body that the node uses."""

    service: str
    address: str
    label: str = field(name='version')
    slots: int
    phase: str = field(name='state')
    sequence: int
    born_ms: int = field(name='born', default=0)


class _Leave(Struct, kw_only=True):
    """The body of a leave; every field is optional."""

    born_ms: int = field(name='born', default=0)


def read_heartbeat(run_id: str, body: bytes) -> Result[TargetNotice, str]:
    """Decode a heartbeat.

    Args:
        run_id: id of this run of the instance (one lifetime of its process),
            from the path.
        body: JSON.

    Returns:
        The notice, or a message that names the invalid field.
    """
    try:
        heartbeat = json.decode(body, type=_Heartbeat)
    except JSON_ERRORS as exc:
        return Err(f'heartbeat: {exc}')
    phase = TARGET_PHASES.get(heartbeat.phase)
    if phase is None:
        return Err(f'heartbeat: unknown state {heartbeat.phase!r}')
    host, _, port = heartbeat.address.rpartition(':')
    if not host or not port.isdigit():
        return Err(f'heartbeat: {heartbeat.address!r} is not host:port')
    fields = {
        'service': heartbeat.service,
        'label': heartbeat.label,
        'host': host,
        'port': int(port),
        'slots': heartbeat.slots,
        'phase': phase,
        'run_id': run_id,
        'born_ms': heartbeat.born_ms,
        'sequence': heartbeat.sequence,
    }
    try:
        return Ok(convert(fields, TargetNotice))
    except ValidationError as exc:
        return Err(f'heartbeat: {exc}')


def read_leave(body: bytes) -> int:
    """Return when the leaving run started, milliseconds since 1970.

    Zero if unknown. The path of a leave names the run, so a leave is valid
    even if its body cannot be decoded.
    """
    try:
        return json.decode(body, type=_Leave).born_ms
    except JSON_ERRORS:
        return 0
