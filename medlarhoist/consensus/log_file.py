"""Log file: stores the log, hard state and snapshot of one replica.

The data folder holds `lock`, `hard` (incarnation, term, vote, commit), `log`
and `snapshot`. `hard` and `snapshot` are replaced as a unit: write a new file,
sync, rename, sync the folder. `log` is appended to, with one frame and one
sync per write. A write that a crash cut short is truncated; any other mismatch
with a checksum makes the replica refuse to start.
"""

import errno
import fcntl
import os
from collections.abc import Callable
from contextlib import ExitStack, suppress
from typing import Any, Final

from msgspec import Struct
from result import Err, Ok, Result

from medlarhoist.consensus.frame import make_frame, read_frames
from medlarhoist.consensus.log import Log
from medlarhoist.consensus.record import Entry, HardState, LogSnapshot
from medlarhoist.consensus.step import Write
from medlarhoist.core.resource import Fault
from medlarhoist.wire.codec import CODEC_ERRORS, decode, encode

INCARNATION_BYTES: Final = 8
FILE_MODE: Final = 0o600
REPAIR_HINT: Final = (
    'stop this source, move its data folder away and start it with an empty '
    'one; the other sources send it the log and then admit it as a voter'
)
CHECKSUM_MISMATCH: Final = 'the bytes do not match their checksum'
# Room for a few entries; a disk with less is as good as full.
PROBE_BYTES: Final = 16_384
DISK_FULL_ERRNOS: Final = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class Disk(Struct, frozen=True):
    """The system calls for writing, so that tests can replace them.

    Args:
        write: writes bytes to a descriptor, returns how many it wrote.
        sync: waits until the writes to a descriptor are on the disk.
    """

    write: Callable[[int, bytes], int] = os.write
    sync: Callable[[int], None] = os.fsync


class StoredState(Struct, frozen=True, kw_only=True):
    """Content of a data folder when it was opened.

    `snapshot` is None before the first; `entries` are those after it.
    """

    hard: HardState
    snapshot: LogSnapshot | None
    entries: tuple[Entry, ...]


class LogFile:
    """An open, locked data folder."""

    __slots__ = (
        '_disk',
        '_end',
        '_folder',
        '_is_torn',
        '_lock_fd',
        '_log_fd',
    )

    def __init__(self, folder: str, disk: Disk, lock_fd: int) -> None:
        """Keep a folder that open_folder has locked; load() opens the log."""
        self._folder = folder
        self._disk = disk
        self._lock_fd = lock_fd
        self._log_fd = -1
        self._end = 0
        # Whether a write that failed may have left bytes in the log, or
        # another log under its name.
        self._is_torn = False

    def load(self) -> Result[StoredState, Fault]:
        """Read all files; truncate a write that a crash has cut short.

        Must be called once, before save(). Returns the fault where a file is
        missing or damaged. An empty folder gets an incarnation of its own.
        """
        try:
            stored, end = self._load()
        except _Damage as damage:
            return Err(self._to_fault(damage))
        self._open_log(end)
        return Ok(stored)

    def save(self, write: Write, log: Log) -> Result[None, Fault]:
        """Store a write and wait until it is synced.

        Args:
            write: what to save.
            log: the complete log after the write.

        Returns:
            Ok, or a fault where the disk is full; the write must then be
            treated as not done.

        Raises:
            OSError: the disk may have lost data; the process must stop.
        """
        return self._try(lambda: self._save(write, log))

    def probe(self) -> Result[None, Fault]:
        """Check whether the disk takes writes again after it was full.

        Returns:
            Ok, or the fault where it is still full.

        Raises:
            OSError: the disk fails otherwise.
        """
        return self._try(lambda: _write_probe(self._folder, self._disk))

    def close(self) -> None:
        """Close the files and release the lock."""
        for descriptor in (self._log_fd, self._lock_fd):
            if descriptor >= 0:
                os.close(descriptor)
        self._log_fd = -1
        self._lock_fd = -1

    def _try(self, store: Callable[[], None]) -> Result[None, Fault]:
        refusal = _find_refusal(self._repair) or _find_refusal(store)
        if not refusal:
            return Ok(None)
        self._is_torn = True
        with suppress(OSError):
            self._repair()
        return Err(Fault(source=self._folder, message=refusal))

    def _repair(self) -> None:
        """Remove what a failed write has left in the log."""
        if not self._is_torn:
            return
        found = os.stat(self._path('log'))
        if found.st_ino != os.fstat(self._log_fd).st_ino:
            # The log was rewritten, but not opened again.
            os.close(self._log_fd)
            self._open_log(found.st_size)
        os.ftruncate(self._log_fd, self._end)
        self._is_torn = False

    def _save(self, write: Write, log: Log) -> None:
        if write.hard is not None:
            self._replace('hard', make_frame(encode(write.hard)))
        if write.snapshot is not None:
            self._replace('snapshot', make_frame(encode(write.snapshot)))
            body = make_frame(encode(log.entries)) if log.entries else b''
            self._replace('log', body)
            os.close(self._log_fd)
            self._open_log(len(body))
        elif write.entries:
            frame = make_frame(encode(write.entries))
            _write_all(self._disk, self._log_fd, frame)
            self._disk.sync(self._log_fd)
            self._end += len(frame)

    def _open_log(self, end: int) -> None:
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._log_fd = os.open(self._path('log'), flags, FILE_MODE)
        self._end = end
        if os.fstat(self._log_fd).st_size != end:
            os.ftruncate(self._log_fd, end)
        self._disk.sync(self._log_fd)
        self._sync_folder()

    def _load(self) -> tuple[StoredState, int]:
        hard = self._read_record('hard', HardState)
        snapshot = self._read_record('snapshot', LogSnapshot)
        log = read_frames(_read(self._path('log')))
        if log.damaged_at is not None:
            raise _Damage('log', log.damaged_at, CHECKSUM_MISMATCH)
        if hard is None:
            if log.bodies or snapshot is not None:
                raise _Damage('hard', 0, 'it is missing')
            return self._initialize(), log.end
        entries = _join_entries(log.bodies, snapshot)
        stored = StoredState(hard=hard, snapshot=snapshot, entries=entries)
        return stored, log.end

    def _initialize(self) -> StoredState:
        hard = HardState(incarnation=os.urandom(INCARNATION_BYTES).hex())
        self._replace('hard', make_frame(encode(hard)))
        return StoredState(hard=hard, snapshot=None, entries=())

    def _read_record(self, name: str, kind: Any) -> Any:
        content = _read(self._path(name))
        if not content:
            return None
        frames = read_frames(content)
        if len(frames.bodies) != 1 or frames.end != len(content):
            raise _Damage(name, frames.end, CHECKSUM_MISMATCH)
        return _decode(name, frames.bodies[0], kind)

    def _replace(self, name: str, content: bytes) -> None:
        path = self._path(name)
        with open(f'{path}.new', 'wb') as target:
            _write_all(self._disk, target.fileno(), content)
            self._disk.sync(target.fileno())
        os.replace(f'{path}.new', path)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        with ExitStack() as stack:
            stack.callback(os.close, descriptor)
            self._disk.sync(descriptor)

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def _to_fault(self, damage: '_Damage') -> Fault:
        name, offset, detail = damage.args
        return Fault(
            source=f'{self._path(name)}: byte {offset}',
            message=f'{detail}; {REPAIR_HINT}',
        )


class _Damage(Exception):
    """Args: name of the file, offset in bytes, and what is wrong there."""


def _write_probe(folder: str, disk: Disk) -> None:
    """Write, sync and remove a small file.

    Raises:
        OSError: the disk refuses it, with one of DISK_FULL_ERRNOS if it is
            full.
    """
    path = os.path.join(folder, 'probe')
    with open(path, 'wb') as target:
        _write_all(disk, target.fileno(), bytes(PROBE_BYTES))
        disk.sync(target.fileno())
    os.remove(path)


def find_full_disk(folder: str) -> str:
    """Return why the disk of a folder refuses writes, empty if it doesn't.

    The folder is created if it is missing.

    Raises:
        OSError: the folder cannot be used for another reason.
    """
    return _find_refusal(
        lambda: os.makedirs(folder, mode=0o700, exist_ok=True),
    ) or _find_refusal(lambda: _write_probe(folder, Disk()))


def open_folder(folder: str, disk: Disk) -> Result[LogFile, Fault]:
    """Create a data folder where it is missing, and lock it.

    Args:
        folder: path of the data folder.
        disk: the system calls to write with.

    Returns:
        The locked folder, or the fault if another process has it open.
    """
    os.makedirs(folder, mode=0o700, exist_ok=True)
    path = os.path.join(folder, 'lock')
    lock_fd = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock_fd)
        message = 'another process has this data folder open'
        return Err(Fault(source=path, message=message))
    return Ok(LogFile(folder, disk, lock_fd))


def _find_refusal(store: Callable[[], None]) -> str:
    """Return why a full disk refuses to store something, empty if it doesn't.

    Raises:
        OSError: the disk fails otherwise.
    """
    try:
        store()
    except OSError as exc:
        if exc.errno not in DISK_FULL_ERRNOS:
            raise
        return str(exc)
    return ''


def _write_all(disk: Disk, descriptor: int, content: bytes) -> None:
    while content:
        content = content[disk.write(descriptor, content) :]


def _read(path: str) -> bytes:
    try:
        with open(path, 'rb') as source:
            return source.read()
    except FileNotFoundError:
        return b''


def _decode(name: str, body: bytes, kind: Any) -> Any:
    try:
        return decode(body, kind)
    except CODEC_ERRORS as exc:
        raise _Damage(name, 0, str(exc)) from exc


def _join_entries(
    bodies: tuple[bytes, ...],
    snapshot: LogSnapshot | None,
) -> tuple[Entry, ...]:
    """Return the entries after the snapshot.

    A later write replaces the earlier entries from its first index on.

    Raises:
        _Damage: entries are missing.
    """
    entries: list[Entry] = []
    for body in bodies:
        batch = _decode('log', body, tuple[Entry, ...])
        if entries:
            del entries[max(batch[0].index - entries[0].index, 0) :]
        entries.extend(batch)
    base = 0 if snapshot is None else snapshot.index
    if snapshot is not None and _is_superseded(entries, snapshot):
        return ()
    kept = tuple(entry for entry in entries if entry.index > base)
    for offset, entry in enumerate(kept, start=base + 1):
        if entry.index != offset:
            raise _Damage('log', 0, f'entry {offset} is missing')
    return kept


def _is_superseded(entries: list[Entry], snapshot: LogSnapshot) -> bool:
    """Return whether the snapshot replaces a log that conflicts with it.

    The log then has another term at the index of the snapshot; it stays when
    the process crashes after the snapshot was stored and before the log was.
    """
    return any(
        entry.index == snapshot.index and entry.term != snapshot.term
        for entry in entries
    )
