"""Usual: what calls of a route usually take, and how large their answers are."""

from typing import Final

from msgspec import Struct

SMOOTHING: Final = 0.05
# Far more routes than a mesh has.
ROUTES_KEPT: Final = 20_000


class Usual(Struct, frozen=True):
    """The usual call of a route.

    Args:
        seconds: time from the attempt to the end of its answer, zero where
            none has ended yet.
        answer_bytes: declared size of the answer.
    """

    seconds: float = 0
    answer_bytes: float = 0


UNKNOWN: Final = Usual()


class UsualCalls:
    """The usual calls that entered at one node, by route."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        """Start without a call."""
        self._routes: dict[str, Usual] = {}

    def get(self, route: str) -> Usual:
        """Return the usual call of a route."""
        return self._routes.get(route, UNKNOWN)

    def note(self, route: str, seconds: float, answer_bytes: int) -> None:
        """Take in a call that was answered whole.

        Args:
            route: name of its route.
            seconds: time from the attempt to the end of the answer.
            answer_bytes: declared size of the answer.
        """
        if len(self._routes) > ROUTES_KEPT:
            self._routes.clear()
        before = self._routes.get(route) or Usual(seconds, answer_bytes)
        self._routes[route] = Usual(
            before.seconds + SMOOTHING * (seconds - before.seconds),
            before.answer_bytes
            + SMOOTHING * (answer_bytes - before.answer_bytes),
        )
