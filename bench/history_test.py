"""Checks histories of resource operations for linearizability.

Each resource is a register with compare-and-set on its resource version.
Registers are independent, so each is checked alone. The search follows Wing
and Gong: an operation may come next if no other one returned before it was
called. The tests run the checker on histories that are known to be
linearizable or not.
"""

from collections.abc import Iterator
from typing import Final

import pytest
from msgspec import Struct

NEVER: Final = float('inf')
ABSENT_VALUE: Final = ''


class Operation(Struct, frozen=True, kw_only=True):
    """An operation of an operator on a resource.

    Args:
        key: the resource.
        kind: `get` or `put`.
        base: resource version that a put was conditional on.
        value: what a put wrote or a get returned.
        version: resource version that was returned; zero for absent.
        outcome: `ok`, `conflict` or `unknown`.
        called: time of the call, seconds.
        returned: time of the return, seconds; NEVER if the outcome is unknown.
    """

    key: str
    kind: str
    called: float
    returned: float = NEVER
    base: int = 0
    value: str = ABSENT_VALUE
    version: int = 0
    outcome: str = 'ok'


class Register(Struct, frozen=True):
    """Value and version of one resource."""

    value: str = ABSENT_VALUE
    version: int = 0


SearchState = tuple[tuple[Operation, ...], Register]


def _apply(register: Register, step: Operation) -> Register | None:
    """Return the register after an operation, None if it cannot be next."""
    if step.kind == 'get':
        observed = Register(step.value, step.version)
        return register if observed == register else None
    if step.outcome == 'conflict':
        return None if step.base == register.version else register
    if step.base != register.version:
        # A put of unknown outcome may have been refused.
        return register if step.outcome == 'unknown' else None
    if step.outcome == 'ok' and step.version <= register.version:
        return None
    return Register(step.value, step.version)


def _next_candidates(remaining: tuple[Operation, ...]) -> list[Operation]:
    first_return = min(step.returned for step in remaining)
    return [step for step in remaining if step.called <= first_return]


def is_linearizable(history: list[Operation]) -> bool:
    """Return whether some order of the operations explains all results.

    Args:
        history: operations on any number of resources. Versions of puts with
            an unknown outcome come from later reads, by `resolve_unknown`.
    """
    keys = {step.key for step in history}
    return all(
        _is_explained(
            tuple(step for step in history if step.key == key),
            Register(),
        )
        for key in keys
    )


def _is_explained(
    remaining: tuple[Operation, ...],
    register: Register,
) -> bool:
    """Search depth first, without recursion: a history may be long."""
    tried: set[SearchState] = set()
    branches: list[Iterator[SearchState]] = [iter([(remaining, register)])]
    while branches:
        state = next(branches[-1], None)
        if state is None:
            branches.pop()
        elif all(step.outcome == 'unknown' for step in state[0]):
            return True
        elif state not in tried:
            tried.add(state)
            branches.append(_next_states(*state))
    return False


def _next_states(
    remaining: tuple[Operation, ...],
    register: Register,
) -> Iterator[SearchState]:
    """Yield the states after each operation that may be the next one."""
    for step in _next_candidates(remaining):
        rest = tuple(other for other in remaining if other is not step)
        after = _apply(register, step)
        if after is not None:
            yield rest, after
        if step.outcome == 'unknown':
            yield rest, register


def resolve_unknown(history: list[Operation]) -> list[Operation]:
    """Set the version of puts of unknown outcome to the one that was read.

    Values are unique in a history, so a value identifies its put.
    """
    read_versions = {
        (step.key, step.value): step.version
        for step in history
        if step.kind == 'get' and step.value
    }
    resolved = []
    for step in history:
        if step.outcome == 'unknown':
            version = read_versions.get((step.key, step.value), 0)
            step = Operation(
                key=step.key,
                kind=step.kind,
                called=step.called,
                base=step.base,
                value=step.value,
                version=version,
                outcome='unknown',
            )
        resolved.append(step)
    return resolved


def put(called, returned, base, value, version, outcome='ok'):
    return Operation(
        key='k',
        kind='put',
        called=called,
        returned=returned,
        base=base,
        value=value,
        version=version,
        outcome=outcome,
    )


def get(called, returned, value, version):
    return Operation(
        key='k',
        kind='get',
        called=called,
        returned=returned,
        value=value,
        version=version,
    )


LINEARIZABLE = {
    'in order': [put(0, 1, 0, 'a', 1), get(2, 3, 'a', 1)],
    'a race with one winner': [
        put(0, 3, 0, 'a', 1),
        put(1, 2, 0, 'b', 0, 'conflict'),
    ],
    'a read during a put returns either value': [
        put(0, 9, 0, 'a', 1),
        get(1, 2, '', 0),
        get(3, 4, 'a', 1),
    ],
    'a lost reply whose put was applied': [
        put(0, NEVER, 0, 'a', 1, 'unknown'),
        get(5, 6, 'a', 1),
    ],
    'a lost reply whose put was not applied': [
        put(0, NEVER, 0, 'a', 0, 'unknown'),
        get(5, 6, '', 0),
    ],
}
NOT_LINEARIZABLE = {
    'a stale read': [put(0, 1, 0, 'a', 1), get(2, 3, '', 0)],
    'two winners': [put(0, 3, 0, 'a', 1), put(0, 3, 0, 'b', 2)],
    'a conflict without a concurrent put': [put(0, 1, 0, 'a', 0, 'conflict')],
    'a reverted write': [
        put(0, 1, 0, 'a', 1),
        put(2, 3, 1, 'b', 2),
        get(4, 5, 'a', 1),
    ],
    'a put of unknown outcome read, then absent': [
        put(0, NEVER, 0, 'a', 1, 'unknown'),
        get(1, 2, 'a', 1),
        get(3, 4, '', 0),
    ],
    'a version that decreases': [
        put(0, 1, 0, 'a', 5),
        put(2, 3, 5, 'b', 4),
    ],
}


@pytest.mark.parametrize('name', LINEARIZABLE)
def test_linearizable_histories_are_accepted(name):
    assert is_linearizable(LINEARIZABLE[name])


@pytest.mark.parametrize('name', NOT_LINEARIZABLE)
def test_other_histories_are_rejected(name):
    assert not is_linearizable(NOT_LINEARIZABLE[name])


def test_unknown_outcomes_get_the_version_that_was_read():
    unresolved = put(0, NEVER, 0, 'a', 0, 'unknown')
    history = resolve_unknown([unresolved, get(1, 2, 'a', 7)])
    assert history[0].version == 7
    assert is_linearizable(history)
