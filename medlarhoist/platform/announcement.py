"""Announcement: what an instance says of itself, as a notice of a target."""

from msgspec import DecodeError, Struct, ValidationError, convert, field, json
from result import Err, Ok, Result

from medlarhoist.core.target import TargetNotice
from medlarhoist.platform.names import TARGET_PHASES


class _Heartbeat(Struct, kw_only=True):
    """The body of a heartbeat, as far as it is used."""

    service: str
    address: str
    label: str = field(name='version')
    slots: int
    phase: str = field(name='state')
    sequence: int
    born_ms: int = field(name='born', default=0)


class _Leave(Struct, kw_only=True):
    """The body of a leave; all of it may be missing."""

    born_ms: int = field(name='born', default=0)


def read_heartbeat(run_id: str, body: bytes) -> Result[TargetNotice, str]:
    """Read a heartbeat.

    Args:
        run_id: id of this run of the instance, from the path.
        body: JSON.

    Returns:
        The notice, or what is wrong with it.
    """
    try:
        told = json.decode(body, type=_Heartbeat)
    except (DecodeError, ValidationError, UnicodeDecodeError) as exc:
        return Err(f'heartbeat: {exc}')
    phase = TARGET_PHASES.get(told.phase)
    if phase is None:
        return Err(f'heartbeat: unknown state {told.phase!r}')
    host, _, port = told.address.rpartition(':')
    if not host or not port.isdigit():
        return Err(f'heartbeat: {told.address!r} is no address')
    plain = {
        'service': told.service,
        'label': told.label,
        'host': host,
        'port': int(port),
        'slots': told.slots,
        'phase': phase,
        'run_id': run_id,
        'born_ms': told.born_ms,
        'sequence': told.sequence,
    }
    try:
        return Ok(convert(plain, TargetNotice))
    except ValidationError as exc:
        return Err(f'heartbeat: {exc}')


def read_leave(body: bytes) -> int:
    """Return when the run that leaves was started, zero where it is not told.

    A leave names its run in the path, so a body that cannot be read does not
    make it void.
    """
    try:
        return json.decode(body, type=_Leave).born_ms
    except (DecodeError, ValidationError, UnicodeDecodeError):
        return 0
