"""Tests of the data folder after crashes, damage and failed writes."""

import errno
import os
from functools import partial

import pytest

from medlarhoist.consensus.log import Log, compact_log, replace_suffix
from medlarhoist.consensus.log_file import Disk, open_folder
from medlarhoist.consensus.record import Entry, HardState, LogSnapshot
from medlarhoist.consensus.step import Write

HARD = HardState(incarnation='', term=2, vote='r1')


def entries(first, last, term=1):
    return tuple(
        Entry(index=index, term=term, body=b'body %d' % index)
        for index in range(first, last + 1)
    )


def load(path, disk=None):
    folder = open_folder(str(path), disk or Disk()).unwrap()
    loaded = folder.load()
    folder.close()
    return loaded


@pytest.fixture
def written(tmp_path):
    """Return a folder with a hard state and two writes of three entries."""
    folder = open_folder(str(tmp_path), Disk()).unwrap()
    folder.load().unwrap()
    log = Log(entries=entries(1, 3))
    folder.save(Write(hard=HARD, entries=log.entries), log).unwrap()
    added = entries(4, 6)
    log = replace_suffix(log, added)
    folder.save(Write(entries=added), log).unwrap()
    folder.close()
    return tmp_path


def flip_byte(path, offset):
    content = bytearray(path.read_bytes())
    content[offset] ^= 1
    path.write_bytes(content)


def test_an_empty_folder_gets_a_lasting_incarnation(tmp_path):
    first = load(tmp_path).unwrap().hard.incarnation
    assert first
    assert load(tmp_path).unwrap().hard.incarnation == first


def test_what_was_saved_is_loaded(written):
    stored = load(written).unwrap()
    assert stored.hard == HARD
    assert stored.entries == entries(1, 6)


def test_a_later_write_replaces_the_entries_from_its_index_on(written):
    folder = open_folder(str(written), Disk()).unwrap()
    log = Log(entries=folder.load().unwrap().entries)
    replacing = entries(3, 3, term=2)
    folder.save(
        Write(entries=replacing), replace_suffix(log, replacing)
    ).unwrap()
    folder.close()
    assert load(written).unwrap().entries == entries(1, 2) + replacing


@pytest.mark.parametrize('cut_bytes', [1, 5, 20, 60])
def test_an_incomplete_last_write_is_truncated(written, cut_bytes):
    path = written / 'log'
    path.write_bytes(path.read_bytes()[:-cut_bytes])
    folder = open_folder(str(written), Disk()).unwrap()
    assert folder.load().unwrap().entries == entries(1, 3)
    appended = entries(4, 5, term=3)
    log = Log(entries=entries(1, 3) + appended)
    folder.save(Write(entries=appended), log).unwrap()
    folder.close()
    assert load(written).unwrap().entries == log.entries


def test_unsynced_zeros_are_truncated(written):
    path = written / 'log'
    path.write_bytes(path.read_bytes() + bytes(4096))
    assert load(written).unwrap().entries == entries(1, 6)


@pytest.mark.parametrize('name', ['log', 'hard', 'snapshot'])
def test_a_flipped_byte_in_any_file_refuses_to_start(written, name):
    folder = open_folder(str(written), Disk()).unwrap()
    log = Log(entries=folder.load().unwrap().entries)
    snapshot = LogSnapshot(index=2, term=1, voters={}, body=b'state')
    log = compact_log(log, snapshot)
    folder.save(Write(snapshot=snapshot), log).unwrap()
    folder.close()
    path = written / name
    for offset in range(path.stat().st_size):
        flip_byte(path, offset)
        fault = load(written).unwrap_err()
        assert fault.source.startswith(str(path))
        assert 'start it with an empty' in fault.message
        flip_byte(path, offset)
    assert load(written).unwrap().entries == entries(3, 6)


def test_a_missing_hard_state_refuses_to_start(written):
    (written / 'hard').unlink()
    assert 'it is missing' in load(written).unwrap_err().message


def test_a_second_process_is_refused(written):
    folder = open_folder(str(written), Disk()).unwrap()
    assert (
        'another process'
        in open_folder(str(written), Disk()).unwrap_err().message
    )
    folder.close()


def test_a_full_disk_refuses_a_write_and_keeps_the_log(written):
    is_full = True

    def write(descriptor, content):
        if is_full:
            os.write(descriptor, content[:7])
            raise OSError(errno.ENOSPC, 'no space left')
        return os.write(descriptor, content)

    folder = open_folder(str(written), Disk(write=write)).unwrap()
    log = Log(entries=folder.load().unwrap().entries)
    added = entries(7, 7)
    full = replace_suffix(log, added)
    refused = folder.save(Write(entries=added), full)
    assert 'no space left' in refused.unwrap_err().message
    is_full = False
    folder.save(Write(entries=added), full).unwrap()
    folder.close()
    assert load(written).unwrap().entries == entries(1, 7)


def test_a_crash_before_the_log_is_rewritten_loses_no_entry(written):
    snapshot = LogSnapshot(index=4, term=1, voters={}, body=b'state')
    before = (written / 'log').read_bytes()
    folder = open_folder(str(written), Disk()).unwrap()
    log = compact_log(Log(entries=folder.load().unwrap().entries), snapshot)
    folder.save(Write(snapshot=snapshot), log).unwrap()
    folder.close()
    (written / 'log').write_bytes(before)
    stored = load(written).unwrap()
    assert stored.snapshot == snapshot
    assert stored.entries == entries(5, 6)


def test_a_failed_sync_raises_instead_of_returning_a_fault(written):
    def fail(descriptor):
        raise OSError(errno.EIO, 'input/output error')

    folder = open_folder(str(written), Disk()).unwrap()
    log = Log(entries=folder.load().unwrap().entries)
    folder._disk = Disk(sync=fail)
    added = entries(7, 7)
    with pytest.raises(OSError, match='input/output error'):
        folder.save(Write(entries=added), replace_suffix(log, added))
    folder.close()


def _create_filling_disk(failing):
    """Return a disk that is full from a number of calls on.

    Args:
        failing: holds the number of calls that still work; empty for a disk
            with room.
    """

    def call(function, *arguments):
        if failing:
            if not failing[0]:
                raise OSError(errno.ENOSPC, 'no space left')
            failing[0] -= 1
        return function(*arguments)

    return Disk(write=partial(call, os.write), sync=partial(call, os.fsync))


# Each of three files is written and synced, and its folder; then the log is
# opened again.
CALLS_OF_A_SNAPSHOT = 11


@pytest.mark.parametrize('calls', range(CALLS_OF_A_SNAPSHOT + 1))
@pytest.mark.parametrize('restarts', [False, True])
def test_a_disk_that_fills_at_any_call_loses_no_entry(written, calls, restarts):
    """A rewritten log was not opened again: later entries went nowhere."""
    failing = []
    folder = open_folder(str(written), _create_filling_disk(failing)).unwrap()
    log = Log(entries=folder.load().unwrap().entries)
    snapshot = LogSnapshot(index=4, term=1, voters={}, body=b'state')
    compacted = compact_log(log, snapshot)
    hard = HardState(incarnation='f', term=9)
    failing.append(calls)
    refused = folder.save(Write(hard=hard, snapshot=snapshot), compacted)
    assert refused.is_err() or calls >= CALLS_OF_A_SNAPSHOT
    failing.clear()
    assert folder.probe().is_ok()
    kept = compacted if refused.is_ok() else log
    added = entries(7, 8)
    folder.save(Write(entries=added), replace_suffix(kept, added)).unwrap()
    if restarts:
        folder.close()
        stored = load(written).unwrap()
        expected = entries(5, 8) if stored.snapshot else entries(1, 8)
        assert stored.entries == expected
    folder.close()
