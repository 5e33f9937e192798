"""Condition: what a run of a target states of itself in its responses.

The node beside the target reads it from each response and sends it on to the
entry node. An entry node that has passed such a response on sends the condition
with its calls, since the target's node may have restarted since then.
"""

from collections.abc import Callable, Sequence
from typing import Final
from urllib.parse import quote, unquote

from msgspec import Struct
from msgspec.structs import replace

from medlarhoist.core.header_names import HeaderNames, is_flagged
from medlarhoist.core.headers import Header, find_header
from medlarhoist.core.load_headers import parse_decimal

# A target names the end of its limit only in responses, so it gets a request
# now and then, whatever its limit is.
MIN_RATE: Final = 0.5
_FIELDS: Final = 3


class Condition(Struct, frozen=True):
    """What one run of a target states of itself.

    Args:
        run_key: key of the run; empty for a target without run id.
        rate: requests per second that it accepts from all nodes together,
            zero for no limit.
        is_leaving: whether it leaves, which no run takes back.
    """

    run_key: str = ''
    rate: float = 0
    is_leaving: bool = False

    @property
    def is_restricted(self) -> bool:
        """Return whether the target states anything that restricts calls."""
        return self.is_leaving or self.rate > 0


NO_CONDITION: Final = Condition()


class RunCondition:
    """What the present run of the target beside a node has stated.

    Args:
        run_key: key of the run, empty for a target without run id.
        condition: what its last response has stated; before its first one,
            what entry nodes have reported.
    """

    __slots__ = ('_has_response', '_on_change', 'condition', 'run_key')

    def __init__(self, on_change: Callable[[Condition], None]) -> None:
        """Start without a run.

        Args:
            on_change: called with each new condition.
        """
        self._has_response = False
        self._on_change = on_change
        self.condition = NO_CONDITION
        self.run_key = ''

    @property
    def known(self) -> Condition | None:
        """Return the condition, None before a response has stated it."""
        return self.condition if self._has_response else None

    def start_run(self, run_key: str) -> None:
        """Forget what another run has stated."""
        if run_key != self.run_key:
            self.run_key = run_key
            self._has_response = False
            self._change(NO_CONDITION)

    def record(self, condition: Condition) -> None:
        """Record what a response states; that of another run is ignored."""
        if condition.run_key == self.run_key:
            self._has_response = True
            self._change(condition)

    def adopt(self, condition: Condition) -> None:
        """Adopt what an entry node reports of the same run.

        After a restart of this node, entry nodes know of more responses. From
        the first response on, only a leave is adopted.
        """
        if not self.run_key or condition.run_key != self.run_key:
            return
        if not self._has_response:
            self._change(condition)
        elif condition.is_leaving:
            self._change(replace(self.condition, is_leaving=True))

    def _change(self, condition: Condition) -> None:
        if condition.run_key == self.condition.run_key:
            is_leaving = condition.is_leaving or self.condition.is_leaving
            condition = replace(condition, is_leaving=is_leaving)
        if condition != self.condition:
            self.condition = condition
            self._on_change(condition)


def read_condition(
    names: HeaderNames,
    run_key: str,
    headers: Sequence[Header],
) -> Condition:
    """Return what a response of a target states.

    A limit that is not a number, or below zero, is ignored. So is a leave of
    a target without run id, since it could not be told from the next run.

    Args:
        names: header names of the node.
        run_key: key of the run that sent the response.
        headers: headers of the response.
    """
    rate = parse_decimal(find_header(headers, names.rate_limit))
    return Condition(
        run_key,
        0 if rate is None else max(MIN_RATE, rate),
        bool(run_key) and is_flagged(headers, names.leaving),
    )


def format_condition(condition: Condition) -> bytes:
    """Return the header value by which nodes send a condition."""
    run_key = quote(condition.run_key).encode()
    return b'%.3f %d %b' % (condition.rate, condition.is_leaving, run_key)


def parse_condition(value: bytes | None) -> Condition | None:
    """Return the condition that a node sent, None without a valid one."""
    words = (value or b'').split(b' ')
    rate = parse_decimal(words[0])
    if len(words) != _FIELDS or rate is None:
        return None
    run_key = unquote(words[2].decode('latin-1'))
    return Condition(run_key, rate, words[1] == b'1')
