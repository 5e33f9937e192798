"""Message: what travels on the tree between sources, keepers and nodes.

A child opens one stream to its parent. Up messages go to the parent, down
messages to the child. Decoding checks types; an unknown tag is an error.
"""

from msgspec import Struct

from medlarhoist.core.command import KeeperSet
from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.membership import Member
from medlarhoist.core.resource import Fault
from medlarhoist.core.snapshot import Snapshot
from medlarhoist.core.summary import Summary, SummaryMark


class Hello(Struct, frozen=True, kw_only=True, tag='hello'):
    """Opens a stream.

    Args:
        node: name of the child.
        domain: its failure domain.
        address: host:port of its control listener.
        active: version in force at the child, zero for none.
        digest: digest of that snapshot.
        schema: newest content schema that the child can compile.
        whole: whether a delta did not fit; whole snapshots are sent then.
        ready: epoch in which the child is ready as a keeper.
    """

    node: str
    domain: str
    address: str
    active: int
    digest: str = ''
    schema: int = 1
    whole: bool = False
    ready: int = 0


class Ack(Struct, frozen=True, kw_only=True, tag='ack'):
    """Counts the nodes of a subtree that have staged or activated a version.

    Args:
        version: the version meant.
        staged: nodes of the subtree that hold it compiled.
        active: nodes of the subtree that have it, or a later one, in force.
        nodes: nodes of the subtree.
        refusals: faults of nodes that cannot compile it.
        lagging: names of up to eight nodes that have not staged it.
        holds: whether the child itself holds it compiled.
        ready: epoch in which the child is ready as a keeper.
        spare: control addresses of a few nodes that could become keepers.
    """

    version: int
    staged: int
    active: int
    nodes: int
    refusals: tuple[Fault, ...] = ()
    lagging: tuple[str, ...] = ()
    holds: bool = False
    ready: int = 0
    spare: dict[str, str] = {}


class Report(Struct, frozen=True, kw_only=True, tag='report'):
    """Evidence of a subtree, summed by key and window."""

    rows: tuple[EvidenceRow, ...]


class Delta(Struct, frozen=True, kw_only=True):
    """The difference between two snapshots.

    Args:
        base: version it applies to.
        base_digest: digest of the base.
        version: version it leads to.
        digest: digest of the result.
        body: encoded changes, see core.delta.
    """

    base: int
    base_digest: str
    version: int
    digest: str
    body: bytes


class Stage(Struct, frozen=True, kw_only=True, tag='stage'):
    """Asks to compile a version beside the active one; one of the two."""

    version: int
    snapshot: Snapshot | None = None
    delta: Delta | None = None


class Established(Struct, frozen=True, kw_only=True, tag='established'):
    """Says that a majority of the domain's keepers hold a version active.

    Args:
        version: the version.
        epoch: epoch of the domain's keepers that the parent knows.
        age_ms: time since the leader of the sources was last heard of, along
            the tree, in milliseconds.
    """

    version: int
    epoch: int
    age_ms: int = 0


class Activated(Struct, frozen=True, kw_only=True, tag='activated'):
    """From the source to keepers only: the version is committed active."""

    version: int
    epoch: int


class Abandoned(Struct, frozen=True, kw_only=True, tag='abandoned'):
    """Tells to drop a staged version."""

    version: int


class Keepers(Struct, frozen=True, kw_only=True, tag='keepers'):
    """The keeper sets of all failure domains."""

    sets: tuple[KeeperSet, ...]


class Ages(Struct, frozen=True, kw_only=True, tag='ages'):
    """Says when the summaries of other domains were last confirmed.

    Args:
        ages_ms: time since then by domain, in milliseconds.
    """

    ages_ms: dict[str, int]


class Redirect(Struct, frozen=True, kw_only=True, tag='redirect'):
    """Sends the child elsewhere: to a leader, or to a less loaded parent."""

    address: str
    reason: str


class Join(Struct, frozen=True, kw_only=True, tag='join'):
    """Asks a source, or a node, for the keeper sets."""

    node: str
    domain: str
    address: str


class Joined(Struct, frozen=True, kw_only=True, tag='joined'):
    """Answers a join.

    Args:
        sets: the keeper sets of all failure domains.
        leader: control address of the leader of the sources, if known.
        sources: control addresses of all sources.
    """

    sets: tuple[KeeperSet, ...]
    leader: str = ''
    sources: tuple[str, ...] = ()


class FloorQuery(Struct, frozen=True, kw_only=True, tag='floor-query'):
    """Asks a keeper, or the leader of the sources, for its versions.

    Args:
        node: name of the asking node.
        domain: its failure domain.
        keepers: newest keeper set of the domain that it knows.
        held: version that the asking keeper holds as active, zero for none.
    """

    node: str
    domain: str
    keepers: KeeperSet | None = None
    held: int = 0


class Fetch(Struct, frozen=True, kw_only=True, tag='fetch'):
    """Asks a keeper for a whole snapshot at or past a version."""

    node: str
    version: int


class Sync(Struct, frozen=True, kw_only=True, tag='sync'):
    """Exchanges all records of a domain's members, where they differ.

    Args:
        domain: the failure domain.
        digest: digest of all that the sender knows.
        members: what the sender knows; empty in the first question.
    """

    domain: str
    digest: str
    members: tuple[Member, ...] = ()


class Exchange(Struct, frozen=True, kw_only=True, tag='exchange'):
    """Exchanges summaries between the keepers of two failure domains.

    Args:
        domain: failure domain of the sender.
        mark: names its own summary.
        known: names the receiver's summary that it has.
        summary: its own summary, None where the receiver has it.
    """

    domain: str
    mark: SummaryMark
    known: SummaryMark
    summary: Summary | None = None


UpMessage = Hello | Ack | Report
Down = (
    Stage
    | Established
    | Activated
    | Abandoned
    | Keepers
    | Summary
    | Ages
    | Redirect
)
