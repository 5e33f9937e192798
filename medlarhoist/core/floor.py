"""Floor: the configuration version below which a node must not serve.

A version is put in force only after a majority of the domain's keepers hold
it as active. Hence the highest version that any majority reports is at least
what a restarted node served before.
"""

from collections.abc import Iterable

from msgspec import Struct

from medlarhoist.core.command import KeeperSet


class FloorReply(Struct, frozen=True, kw_only=True):
    """What a keeper, or the leader of the sources, says of its versions.

    Args:
        node: name of the answering process.
        held: highest version that it holds as active.
        recovered: epoch for which it knows the floor, zero for none.
        keepers: newest keeper set of the domain that it knows.
        leads: whether it leads the sources and has read behind a barrier.
    """

    node: str
    held: int
    recovered: int
    keepers: KeeperSet | None
    leads: bool = False


def majority(count: int) -> int:
    """Return how many of `count` members are a majority."""
    return count // 2 + 1


def epoch_of(keepers: KeeperSet | None) -> int:
    """Return the epoch of a set, zero for none."""
    return keepers.epoch if keepers else 0


def newest_set(
    known: KeeperSet | None,
    answers: Iterable[FloorReply],
) -> KeeperSet | None:
    """Return the keeper set with the highest epoch."""
    newest = known
    for answer in answers:
        if epoch_of(answer.keepers) > epoch_of(newest):
            newest = answer.keepers
    return newest


def read_floor(
    keepers: KeeperSet,
    answers: Iterable[FloorReply],
) -> int | None:
    """Return the floor that a majority of the keepers proves.

    Args:
        keepers: the newest set that the reader knows.
        answers: at most one answer of each process.

    Returns:
        The floor, or None where no majority answered or where an answer
        shows a newer set; the reader then asks that set.
    """
    counted = []
    for answer in answers:
        if epoch_of(answer.keepers) > keepers.epoch:
            return None
        if is_counted(keepers, answer):
            counted.append(answer.held)
    if len(counted) < majority(len(keepers.members)):
        return None
    return max(counted)


def is_counted(keepers: KeeperSet, answer: FloorReply) -> bool:
    """Say whether an answer is one of a recovered member of the set."""
    if answer.node not in keepers.members:
        return False
    if epoch_of(answer.keepers) != keepers.epoch:
        return False
    return answer.recovered == keepers.epoch
