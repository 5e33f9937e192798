"""Answer ids: whether a response of a target belongs to its request.

A faulty target sends additional bytes after a response, which may have the form
of another one. They are read as the response to the next request on the
connection if they arrive while it runs. Only the id of a request shows this.
"""

from collections.abc import Sequence

from medlarhoist.core.header_names import (
    HeaderNames,
    is_mismatched_response,
    is_refusal,
    read_request_id,
)
from medlarhoist.core.headers import REQUEST_HEADER, Header, find_header


class AnswerIds:
    """The headers with ids that the present run of a target echoes."""

    __slots__ = ('_echoed', '_names')

    def __init__(self, names: HeaderNames) -> None:
        """Start with a run that has echoed nothing.

        Args:
            names: names of the headers that the target uses.
        """
        self._names = names
        self._echoed: set[bytes] = set()

    def start_run(self) -> None:
        """Forget what an earlier run has echoed."""
        self._echoed.clear()

    def find_fault(
        self,
        sent: Sequence[Header],
        status: int,
        received: Sequence[Header],
    ) -> str:
        """Return why a response belongs to no request, or '' if it may.

        A response without an id belongs to no request if the run has echoed
        the id of an earlier one, unless this request has none. A refusal then
        does not either, as it states that its request did not run.

        Args:
            sent: headers of the request, with the id of the attempt.
            status: status of the response.
            received: headers of the response.
        """
        echoed = find_header(received, REQUEST_HEADER)
        is_crossed = echoed not in {None, find_header(sent, REQUEST_HEADER)}
        if is_crossed or is_mismatched_response(self._names, sent, received):
            return 'crossed answer'
        has_caller_id = bool(read_request_id(self._names, received))
        if echoed is not None or has_caller_id:
            if echoed is not None:
                self._echoed.add(REQUEST_HEADER)
            if has_caller_id:
                self._echoed.add(self._names.request_id)
            return ''
        has_id = any(find_header(sent, name) for name in self._echoed)
        if has_id:
            return 'answer without id'
        has_refused = is_refusal(self._names, status, received)
        return 'refusal without id' if has_refused and self._echoed else ''
