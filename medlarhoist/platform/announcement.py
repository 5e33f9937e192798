"""Decodes heartbeats and leaves of instances into notices of targets.

Another writer may send them, with fields missing or of another type, or bytes
that can't be read. Each field of the page is required, so that one that an
instance has not sent as the page says names no instance to use. What a node
knows of its instance is compared in core.notice_check.
"""

from math import ceil
from typing import Annotated, Any, Final

from msgspec import Meta, Struct, ValidationError, convert, field, json
from result import Err, Ok, Result

from medlarhoist.core.notice_check import show
from medlarhoist.core.target import MAX_MILLISECONDS, TargetNotice
from medlarhoist.core.whole_number import parse_whole_number
from medlarhoist.platform.names import TARGET_PHASES
from medlarhoist.utils.web import JSON_ERRORS

MAX_COLD_S: Final = 1_000_000_000
MAX_PORT_DIGITS: Final = 5
_MS_PER_SECOND: Final = 1000


class _Heartbeat(Struct, kw_only=True):
    """The fields of a heartbeat's body."""

    service: str
    address: str
    domain: str = field(name='zone')
    label: str = field(name='version')
    slots: int
    phase: str = field(name='state')
    cold_s: Annotated[float, Meta(ge=0, le=MAX_COLD_S)] = field(
        name='cold_remaining_s'
    )
    sequence: int
    born_ms: int = field(name='born', default=0)


class _Leave(Struct, kw_only=True):
    """The body of a leave; the field is optional."""

    born_ms: Annotated[int, Meta(ge=0, le=MAX_MILLISECONDS)] = field(
        name='born', default=0
    )


def read_heartbeat(
    run_id: str,
    body: bytes,
    domain: str,
) -> Result[TargetNotice, str]:
    """Decode a heartbeat.

    Args:
        run_id: id of this run of the instance (one lifetime of its process),
            from the path.
        body: JSON.
        domain: failure domain of this node, which the heartbeat has to name.

    Returns:
        The notice, or a message of bounded length that names the invalid
        field.
    """
    decoded = _decode(body, _Heartbeat)
    if isinstance(decoded, Err):
        return Err(f'heartbeat: {decoded.err_value}')
    heartbeat = decoded.ok_value
    phase = TARGET_PHASES.get(heartbeat.phase)
    if phase is None:
        return Err(f'heartbeat: state: {show(heartbeat.phase)} is unknown')
    if heartbeat.domain != domain:
        return Err(f'heartbeat: zone: {show(heartbeat.domain)} is another one')
    host, _, digits = heartbeat.address.rpartition(':')
    port = parse_whole_number(digits, MAX_PORT_DIGITS)
    if port is None:
        return Err(
            f'heartbeat: address: {show(heartbeat.address)} is not host:port'
        )
    fields = {
        'service': heartbeat.service,
        'label': heartbeat.label,
        'host': host,
        'port': port,
        'slots': heartbeat.slots,
        'phase': phase,
        'run_id': run_id,
        'born_ms': heartbeat.born_ms,
        'sequence': heartbeat.sequence,
        'cold_ms': ceil(heartbeat.cold_s * _MS_PER_SECOND),
    }
    try:
        return Ok(convert(fields, TargetNotice))
    except ValidationError as exc:
        return Err(f'heartbeat: {exc}')


def read_leave(body: bytes) -> Result[int, str]:
    """Return when the leaving run started, milliseconds since 1970.

    Zero if unknown, as with an empty body. The path of a leave names the run.
    A body that can't be read is another writer's, whose leave must not end
    the work of an instance.

    Returns:
        The start, or a message of bounded length that names the invalid
        field.
    """
    if not body:
        return Ok(0)
    decoded = _decode(body, _Leave)
    if isinstance(decoded, Err):
        return Err(f'leave: {decoded.err_value}')
    return Ok(decoded.ok_value.born_ms)


def _decode(body: bytes, kind: type[Any]) -> Result[Any, str]:
    """Decode JSON; fields that are not used have to be readable, too."""
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return Err('body: not UTF-8')
    try:
        return Ok(json.decode(text, type=kind))
    except JSON_ERRORS as exc:
        return Err(f'body: {exc}')
