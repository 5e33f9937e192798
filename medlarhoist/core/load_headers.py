"""Headers by which nodes send call requirements and target load.

A value is a sequence of decimal numbers separated by single spaces. A value
that cannot be parsed is treated as missing.
"""

import re
from typing import Final

from msgspec.structs import replace

from medlarhoist.core.admission import CallRequirements, Load

_MS_PER_SECOND: Final = 1000
_REQUIREMENTS_FIELDS: Final = 3
_LOAD_FIELDS: Final = 4
_LIMITED_LOAD_FIELDS: Final = 6
_COLD_LOAD_FIELDS: Final = 7
_LOAD_FIELD_COUNTS: Final = frozenset(
    (_LOAD_FIELDS, _LIMITED_LOAD_FIELDS, _COLD_LOAD_FIELDS)
)
_MAX_COLD_MS: Final = 999_999_999
_MILLI: Final = 1000
# float() also reads infinities, other digits and underscores.
_DECIMAL: Final = re.compile(rb'[0-9]{1,9}([.][0-9]{0,40})?')
_MAX_DIGITS: Final = 9


def format_requirements(requirements: CallRequirements, now: float) -> bytes:
    """Return the header value that forwards a call's requirements.

    Its fields are the priority, the milliseconds until the time of the
    latency objective, and 1 for a nested call or 0.

    Args:
        requirements: timing and priority of the call.
        now: present time, seconds of the same clock.
    """
    due_ms = max(0, round((requirements.due - now) * _MS_PER_SECOND))
    return b'%d %d %d' % (
        requirements.priority,
        due_ms,
        requirements.is_nested,
    )


def parse_requirements(
    value: bytes | None,
    deadline: float,
    now: float,
    *,
    is_spilled: bool,
) -> CallRequirements:
    """Return the requirements of a call that another node has forwarded.

    Without a valid header the call has the highest priority, and its latency
    objective is its deadline.

    Args:
        value: value of the header, None where it is missing.
        deadline: deadline of the call, seconds.
        now: present time, seconds of the same clock.
        is_spilled: whether it comes from another failure domain.
    """
    numbers = _parse_numbers(value, _REQUIREMENTS_FIELDS)
    if numbers is None:
        return CallRequirements(
            deadline=deadline, due=deadline, is_spilled=is_spilled
        )
    return CallRequirements(
        priority=numbers[0],
        deadline=deadline,
        due=now + numbers[1] / _MS_PER_SECOND,
        is_spilled=is_spilled,
        is_nested=bool(numbers[2]),
    )


def format_load(load: Load) -> bytes:
    """Return the header value that reports the load of a target.

    Its fields are the slots, the used slots, the waiting calls, and the
    average milliseconds that a call holds a slot, at least one. A target that
    limits the requests per second has two more: requests per 1000 seconds, at
    least one, and the milliseconds until it accepts the next. One that does so
    since it is cold has one more: for how many milliseconds it stays cold.
    """
    busy_ms = max(1, round(load.busy_s * _MS_PER_SECOND))
    numbers = [load.slots, load.used, load.waiting, busy_ms]
    if load.rate:
        numbers.append(max(1, round(load.rate * _MILLI)))
        numbers.append(round(load.delay_s * _MS_PER_SECOND))
    if load.rate and load.cold_s:
        cold_ms = min(_MAX_COLD_MS, round(load.cold_s * _MS_PER_SECOND))
        numbers.append(max(1, cold_ms))
    return b' '.join(b'%d' % number for number in numbers)


def parse_load(value: bytes | None) -> Load | None:
    """Return the load that a node reports, None without a valid header."""
    count = len((value or b'').split(b' '))
    numbers = _parse_numbers(value, count)
    if numbers is None or count not in _LOAD_FIELD_COUNTS:
        return None
    slots, used, waiting, busy_ms, *limit = numbers
    load = Load(slots, used, waiting, busy_ms / _MS_PER_SECOND)
    if not limit or not limit[0]:
        return load
    return replace(
        load,
        rate=limit[0] / _MILLI,
        delay_s=limit[1] / _MS_PER_SECOND,
        cold_s=sum(limit[2:]) / _MS_PER_SECOND,
    )


def parse_decimal(value: bytes | None) -> float | None:
    """Return the decimal number of a header, None if missing or malformed.

    Args:
        value: trimmed value of the header; a number below a billion.
    """
    if value is None or not _DECIMAL.fullmatch(value):
        return None
    return float(value)


def _parse_numbers(value: bytes | None, count: int) -> list[int] | None:
    words = (value or b'').split(b' ')
    if len(words) != count:
        return None
    if not all(word.isdigit() and len(word) <= _MAX_DIGITS for word in words):
        return None
    return [int(word) for word in words]
