"""Weighted distribution of a route's calls over several services.

Smooth weighted round robin keeps the number of calls of each service within
one call of its weight at any time; random selection deviates more for small
numbers of calls. Each node starts at a random offset, so that the nodes do not
select the same service at the same time.
"""

from random import Random
from typing import Final

from medlarhoist.core.resource import Route, WeightedService

MAX_START_OFFSET: Final = 1000
_Credits = dict[str, float]
_State = tuple[tuple[WeightedService, ...], _Credits]


class Splitter:
    """Selects the service of each call that enters at one node."""

    __slots__ = ('_rng', '_states')

    def __init__(self, rng: Random) -> None:
        """Start without calls.

        Args:
            rng: source of randomness for the start offsets.
        """
        self._states: dict[str, _State] = {}
        self._rng = rng

    def pick(self, route: Route) -> str:
        """Return the service for the next call of a route.

        A route whose split has changed starts at a new random offset.
        """
        if not route.split:
            return route.service
        state = self._states.get(route.name)
        if state is None or state[0] != route.split:
            state = (route.split, self._start(route.split))
            self._states[route.name] = state
        return _pick_next(*state)

    def _start(self, split: tuple[WeightedService, ...]) -> _Credits:
        total = sum(part.weight for part in split)
        credit = {part.service: float() for part in split}
        for _ in range(self._rng.randrange(min(total, MAX_START_OFFSET))):
            _pick_next(split, credit)
        return credit


def _pick_next(split: tuple[WeightedService, ...], credit: _Credits) -> str:
    """Return the next service of the rotation and update the credits."""
    total = 0
    for part in split:
        credit[part.service] += part.weight
        total += part.weight
    selected = max(credit, key=credit.__getitem__)
    credit[selected] -= total
    return selected
