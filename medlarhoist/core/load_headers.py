"""Hop need: what nodes tell one another of a call's needs and of a load.

Numbers are written as decimal text with single spaces; what cannot be read
counts as not told.
"""

from typing import Final

from medlarhoist.core.admission import Load, Need

_MS_PER_SECOND: Final = 1000
_NEED_FIELDS: Final = 3
_LOAD_FIELDS: Final = 4
_DIGITS: Final = 9


def write_need(need: Need, now: float) -> bytes:
    """Return the header of a call: priority, time until it is due, nested.

    Args:
        need: what the call needs.
        now: seconds of the clock of `need`.
    """
    due_ms = max(0, round((need.due - now) * _MS_PER_SECOND))
    return b'%d %d %d' % (need.priority, due_ms, need.is_nested)


def read_need(
    value: bytes | None,
    deadline: float,
    now: float,
    *,
    is_spilled: bool,
) -> Need:
    """Return what a call needs.

    Args:
        value: the header, None for none.
        deadline: end of the call, seconds.
        now: present time, seconds of the same clock.
        is_spilled: whether it comes from another failure domain.
    """
    numbers = _read_numbers(value, _NEED_FIELDS)
    if numbers is None:
        return Need(deadline=deadline, due=deadline, is_spilled=is_spilled)
    return Need(
        priority=numbers[0],
        deadline=deadline,
        due=now + numbers[1] / _MS_PER_SECOND,
        is_spilled=is_spilled,
        is_nested=bool(numbers[2]),
    )


def write_load(load: Load) -> bytes:
    """Return the header of an answer: slots, used, waiting, usual ms."""
    busy_ms = max(1, round(load.busy_s * _MS_PER_SECOND))
    return b'%d %d %d %d' % (load.slots, load.used, load.waiting, busy_ms)


def read_load(value: bytes | None) -> Load | None:
    """Return the load that a node tells, None where it tells none."""
    numbers = _read_numbers(value, _LOAD_FIELDS)
    if numbers is None:
        return None
    slots, used, waiting, busy_ms = numbers
    return Load(slots, used, waiting, busy_ms / _MS_PER_SECOND)


def _read_numbers(value: bytes | None, count: int) -> list[int] | None:
    words = (value or b'').split(b' ')
    if len(words) != count:
        return None
    if not all(word.isdigit() and len(word) <= _DIGITS for word in words):
        return None
    return [int(word) for word in words]
