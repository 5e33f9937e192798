"""Memory of this process."""

import resource
from pathlib import Path
from typing import Final

_STATM: Final = Path('/proc/self/statm')


def read_resident_bytes() -> int:
    """Return the resident memory of this process, bytes.

    Raises:
        OSError: the system does not tell it.
    """
    pages = _STATM.read_text().split()[1]
    return int(pages) * resource.getpagesize()
