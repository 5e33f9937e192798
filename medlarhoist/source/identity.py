"""Identity: stores which source a data folder belongs to.

It is written before the source takes part in the group and never changes; a
folder without an identity is unassigned. It holds the endpoints that the
group had at that time; later endpoints are in the replicated log.

Founding a group is a right that a data folder has once. A source whose member
slot was reassigned keeps the name of its former identity, so that its emptied
folder can be told from a new one: it may ask for a slot only.
"""

import os
from typing import Final

from msgspec import DecodeError, Struct, ValidationError, json
from result import Err, Ok, Result

from medlarhoist.core.resource import Fault
from medlarhoist.core.settings import Peer, SourceSettings

FILE_NAME: Final = 'identity'
RETIRED_NAME: Final = 'retired'
# A crash between two removals must leave a folder that can still be read: the
# log goes before the snapshot that it continues.
_WIPE_ORDER: Final = {'snapshot': 1, 'hard': 2}


class Identity(Struct, frozen=True, kw_only=True):
    """Identity of a source, as stored in its data folder.

    Args:
        name: its member slot in the group.
        sources: endpoints of all members of the group, its own included.
        may_found: whether it is an initial member, which may found the group
            while all logs are empty.
    """

    name: str
    sources: tuple[Peer, ...]
    may_found: bool = False


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


def find_identity(cfg: SourceSettings) -> Result[Identity | None, Fault]:
    """Return the identity of a source, None for a standby.

    The first start of an initial member writes its identity. A wipe that was
    interrupted is completed first.

    Raises:
        OSError: the identity cannot be written, or the folder not wiped.
    """
    folder = cfg.data_folder
    read = read_identity(folder)
    if isinstance(read, Err) or read.ok_value is not None:
        return read
    if os.path.exists(os.path.join(folder, RETIRED_NAME)):
        _remove_files(folder)
        return Ok(None)
    if cfg.spare is not None or not cfg.may_found:
        return Ok(None)
    founder = Identity(name=cfg.name, sources=cfg.sources, may_found=True)
    write_identity(folder, founder)
    return Ok(founder)


def retire_folder(folder: str) -> None:
    """Wipe a data folder whose member slot was reassigned.

    Its identity is renamed first, which needs no space on the disk.

    Raises:
        OSError: a file cannot be renamed or removed; find_identity completes
            the wipe.
    """
    path = os.path.join(folder, FILE_NAME)
    os.replace(path, os.path.join(folder, RETIRED_NAME))
    _sync_folder(folder)
    _remove_files(folder)


def _remove_files(folder: str) -> None:
    names = [name for name in os.listdir(folder) if name != RETIRED_NAME]
    names.sort(key=lambda name: _WIPE_ORDER.get(name, 0))
    for name in names:
        os.remove(os.path.join(folder, name))
        _sync_folder(folder)


def _sync_folder(folder: str) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    os.fsync(descriptor)
    os.close(descriptor)
