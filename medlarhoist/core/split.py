"""Split: spreads the calls of a route over services by weight.

Smooth weighted round robin keeps each part within one call of its weight at
every moment, which drawing by lot does not for small numbers of calls. Each
node starts at a random place, so that nodes do not pick in step.
"""

from random import Random
from typing import Final

from medlarhoist.core.resource import Part, Route

MAX_START_OFFSET: Final = 1000
_Credits = dict[str, float]
_Known = tuple[tuple[Part, ...], _Credits]


class Splitter:
    """Picks the service of each call that enters at one node."""

    __slots__ = ('_credits', '_draw')

    def __init__(self, draw: Random) -> None:
        """Start without a call; `draw` is a source of randomness."""
        self._credits: dict[str, _Known] = {}
        self._draw = draw

    def pick(self, route: Route) -> str:
        """Return the service for the next call of a route."""
        if not route.split:
            return route.service
        known = self._credits.get(route.name)
        if known is None or known[0] != route.split:
            known = (route.split, self._start(route.split))
            self._credits[route.name] = known
        return _take(*known)

    def _start(self, split: tuple[Part, ...]) -> _Credits:
        total = sum(part.weight for part in split)
        credit = {part.service: float() for part in split}
        for _ in range(self._draw.randrange(min(total, MAX_START_OFFSET))):
            _take(split, credit)
        return credit


def _take(split: tuple[Part, ...], credit: _Credits) -> str:
    total = 0
    for part in split:
        credit[part.service] += part.weight
        total += part.weight
    chosen = max(credit, key=credit.__getitem__)
    credit[chosen] -= total
    return chosen
