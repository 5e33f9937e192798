"""Identity: stores which source a data folder belongs to.

It is written before the source takes part in the group and never changes; a
folder without an identity is unassigned. It holds the endpoints that the
group had at that time; later endpoints are in the replicated log.
"""

import os
from typing import Final

from msgspec import DecodeError, Struct, ValidationError, json
from result import Err, Ok, Result

from medlarhoist.core.resource import Fault
from medlarhoist.core.settings import Peer

FILE_NAME: Final = 'identity'
# A crash between two removals must leave a folder that can still be read: the
# log goes before the snapshot that it continues, and the identity goes last.
_WIPE_ORDER: Final = {'snapshot': 1, 'hard': 2, FILE_NAME: 3}


class Identity(Struct, frozen=True, kw_only=True):
    """Identity of a source, as stored in its data folder.

    Args:
        name: its member slot in the group.
        sources: endpoints of all members of the group, its own included.
    """

    name: str
    sources: tuple[Peer, ...]


def read_identity(folder: str) -> Result[Identity | None, Fault]:
    """Return the identity in a data folder, None if it is unassigned."""
    path = os.path.join(folder, FILE_NAME)
    try:
        with open(path, 'rb') as file:
            content = file.read()
    except FileNotFoundError:
        return Ok(None)
    try:
        return Ok(json.decode(content, type=Identity))
    except (DecodeError, ValidationError) as exc:
        return Err(Fault(source=path, message=str(exc)))


def write_identity(folder: str, identity: Identity) -> None:
    """Write an identity to a data folder and sync it to the disk.

    Raises:
        OSError: it cannot be written.
    """
    os.makedirs(folder, mode=0o700, exist_ok=True)
    path = os.path.join(folder, FILE_NAME)
    with open(f'{path}.new', 'wb') as file:
        file.write(json.encode(identity))
        file.flush()
        os.fsync(file.fileno())
    os.replace(f'{path}.new', path)
    _sync_folder(folder)


def wipe_folder(folder: str) -> None:
    """Remove all files of a data folder, its identity last.

    Raises:
        OSError: a file cannot be removed.
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
