"""Usual: what calls of a route usually take, and how large their answers are."""

from typing import Final

from msgspec import Struct

SMOOTHING: Final = 0.05
# Far more routes than a mesh has.
MAX_ROUTES: Final = 20_000


class RouteAverage(Struct, frozen=True):
    """The usual call of a route.

    Args:
        seconds: time from the attempt to the end of its answer, zero where
            none has ended yet.
        answer_bytes: declared size of the answer.
    """

    seconds: float = 0
    answer_bytes: float = 0


NO_AVERAGE: Final = RouteAverage()


class RouteAverages:
    """The usual calls that entered at one node, by route."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        """Start without a call."""
        self._routes: dict[str, RouteAverage] = {}

    def get(self, route: str) -> RouteAverage:
        """Return the usual call of a route."""
        return self._routes.get(route, NO_AVERAGE)

    def record(self, route: str, seconds: float, answer_bytes: int) -> None:
        """Take in a call that was answered whole.

        Args:
            route: name of its route.
            seconds: time from the attempt to the end of the answer.
            answer_bytes: declared size of the answer.
        """
        if len(self._routes) > MAX_ROUTES:
            self._routes.clear()
        before = self._routes.get(route) or RouteAverage(seconds, answer_bytes)
        self._routes[route] = RouteAverage(
            before.seconds + SMOOTHING * (seconds - before.seconds),
            before.answer_bytes
            + SMOOTHING * (answer_bytes - before.answer_bytes),
        )
