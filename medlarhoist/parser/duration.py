"""Duration: parses durations and deadlines in manifests."""

import re
from datetime import UTC, datetime
from typing import Annotated, Final

from msgspec import Meta

from medlarhoist.utils.clock import MILLISECONDS_PER_SECOND

DURATION_PATTERN: Final = r'^[0-9]{1,9}(ms|s|m|h)\Z'
Duration = Annotated[str, Meta(pattern=DURATION_PATTERN)]

_UNITS_MS: Final = {'ms': 1, 's': 1000, 'm': 60_000, 'h': 3_600_000}
_DURATION: Final = re.compile('([0-9]{1,9})(ms|s|m|h)')


def parse_duration(text: str) -> int | None:
    """Return the milliseconds of a text like 500ms, 30s, 5m or 1h.

    None where the text has another form.
    """
    found = _DURATION.fullmatch(text)
    if found is None:
        return None
    return int(found[1]) * _UNITS_MS[found[2]]


def parse_deadline(text: str, now_ms: int) -> int | None:
    """Return a deadline in milliseconds since 1970.

    None where the text has another form or a time without a zone.

    Args:
        text: a duration from now, or an RFC 3339 time with its zone.
        now_ms: current time, milliseconds since 1970.
    """
    duration = parse_duration(text)
    if duration is not None:
        return now_ms + duration
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return None
    if moment.tzinfo is None:
        return None
    seconds = moment.astimezone(UTC).timestamp()
    return int(seconds * MILLISECONDS_PER_SECOND)
