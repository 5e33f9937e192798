"""Identity: which source a data folder belongs to.

It is written before the source takes part in anything and never changes; a
folder without one belongs to nobody. Addresses in it are where the group was
at that time; later ones stand in the log.
"""

import os
from typing import Final

from msgspec import DecodeError, Struct, ValidationError, json
from result import Err, Ok, Result

from medlarhoist.core.resource import Fault
from medlarhoist.core.settings import Peer

FILE_NAME: Final = 'identity'
# What is left after a crash must still be a folder that can be read.
_WIPE_ORDER: Final = {'snapshot': 1, 'hard': 2, FILE_NAME: 3}


class Identity(Struct, frozen=True, kw_only=True):
    """Who a source is.

    Args:
        name: its name in the group.
        sources: the group, itself included.
    """

    name: str
    sources: tuple[Peer, ...]


def read_identity(folder: str) -> Result[Identity | None, Fault]:
    """Return whose folder it is, None for nobody's."""
    path = os.path.join(folder, FILE_NAME)
    try:
        with open(path, 'rb') as source:
            content = source.read()
    except FileNotFoundError:
        return Ok(None)
    try:
        return Ok(json.decode(content, type=Identity))
    except (DecodeError, ValidationError) as exc:
        return Err(Fault(source=path, message=str(exc)))


def write_identity(folder: str, identity: Identity) -> None:
    """Put an identity on the disk and wait until it is there.

    Raises:
        OSError: the disk refused.
    """
    os.makedirs(folder, mode=0o700, exist_ok=True)
    path = os.path.join(folder, FILE_NAME)
    with open(f'{path}.new', 'wb') as target:
        target.write(json.encode(identity))
        target.flush()
        os.fsync(target.fileno())
    os.replace(f'{path}.new', path)
    _sync_folder(folder)


def wipe_folder(folder: str) -> None:
    """Remove everything from a folder, its identity last.

    Raises:
        OSError: the disk refused.
    """
    names = os.listdir(folder)
    names.sort(key=lambda name: _WIPE_ORDER.get(name, 0))
    for name in names:
        os.remove(os.path.join(folder, name))
        _sync_folder(folder)


def _sync_folder(folder: str) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    os.fsync(descriptor)
    os.close(descriptor)
