"""Moving averages of call duration and response size, by route."""

from typing import Final

from msgspec import Struct

SMOOTHING: Final = 0.05
# Far more routes than a mesh has.
MAX_ROUTES: Final = 20_000


class RouteAverage(Struct, frozen=True):
    """Exponential moving averages over the calls of a route.

    Args:
        seconds: time from the start of the attempt to the end of its
            response, zero before the first call has finished.
        answer_bytes: declared size of the response, bytes.
    """

    seconds: float = 0
    answer_bytes: float = 0


NO_AVERAGE: Final = RouteAverage()


class RouteAverages:
    """Averages of the calls that entered at one node, by route."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        """Start without recorded calls."""
        self._routes: dict[str, RouteAverage] = {}

    def get(self, route: str) -> RouteAverage:
        """Return the averages of a route, zeros if it has no calls yet."""
        return self._routes.get(route, NO_AVERAGE)

    def record(self, route: str, seconds: float, answer_bytes: int) -> None:
        """Record a call with a complete response.

        All averages are discarded once more than MAX_ROUTES are held.

        Args:
            route: name of its route.
            seconds: time from the start of the attempt to the end of the
                response.
            answer_bytes: declared size of the response, bytes.
        """
        if len(self._routes) > MAX_ROUTES:
            self._routes.clear()
        before = self._routes.get(route) or RouteAverage(seconds, answer_bytes)
        self._routes[route] = RouteAverage(
            before.seconds + SMOOTHING * (seconds - before.seconds),
            before.answer_bytes
            + SMOOTHING * (answer_bytes - before.answer_bytes),
        )
