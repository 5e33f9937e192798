"""Call suspicion: what an entry node knows of the requests of its callers."""

import time

from medlarhoist.core.quarantine import (
    QUARANTINED,
    Quarantine,
    shows_completion,
)
from medlarhoist.node.proxy.attempt import Failure
from medlarhoist.node.proxy.call import Call
from medlarhoist.node.proxy.suspects import refuse_suspect


class CallSuspicions:
    """Finds the suspects among the calls that enter at one node.

    Args:
        refused: calls that were refused as their request is in quarantine.
    """

    __slots__ = ('_key', '_quarantine', 'refused')

    def __init__(self, key: bytes, quarantine: Quarantine) -> None:
        """Start without calls.

        Args:
            key: the key of fingerprints.
            quarantine: the suspects that this node knows of.
        """
        self._key = key
        self._quarantine = quarantine
        self.refused = 0

    async def check(self, call: Call) -> Failure | None:
        """Update what is known of a call; return why it is refused.

        Returns:
            None if it may be sent to a target. Its node checks it again.
        """
        if not self._quarantine.entries:
            return None
        await call.body.await_prefix()
        fingerprint = call.request.make_fingerprint(self._key)
        record = self._quarantine.find(fingerprint, time.monotonic())
        call.suspicion = record
        if record is None or not record.wait_ms:
            return None
        self.refused += 1
        return refuse_suspect(record, QUARANTINED)

    def record(self, failure: Failure) -> None:
        """Adopt what the node of a target knows of a request."""
        if failure.suspicion is not None:
            known = (failure.suspicion,)
            self._quarantine.merge(known, time.monotonic())

    def record_response(self, call: Call, status: int) -> None:
        """Clear the request of a call that got a complete response.

        Args:
            call: the call.
            status: HTTP status of the response.
        """
        if call.suspicion is not None and shows_completion(status):
            fingerprint = call.suspicion.fingerprint
            self._quarantine.clear(fingerprint, time.monotonic())
