"""Message: messages of the distribution tree of sources, keepers and nodes.

The parent of a keeper is the leader of the sources; that of another node is a
keeper or another node. A child opens one stream to its parent, which carries
up messages to the parent and down messages to the child. The other messages
belong to unary calls, see `procedures`. Decoding checks types; an unknown tag
is an error.
"""

from msgspec import Struct

from medlarhoist.core.account_usage import ShareRow, UsageRow
from medlarhoist.core.command import KeeperSet
from medlarhoist.core.confirmation import Contact
from medlarhoist.core.evidence import EvidenceRow
from medlarhoist.core.membership import Member
from medlarhoist.core.quarantine import Suspicion
from medlarhoist.core.resource import Fault
from medlarhoist.core.snapshot import Snapshot
from medlarhoist.core.summary import Summary, SummaryMark
from medlarhoist.core.withdrawal import Withdrawal


class Hello(Struct, frozen=True, kw_only=True, tag='hello'):
    """First message of a stream, from child to parent.

    Sent again on an open stream when the child lacks a version or a keeper
    set that a message of the parent refers to.

    Args:
        node: name of the child.
        domain: its failure domain.
        address: host:port of its control listener.
        active: established version of the child, zero for none; the parent
            may send deltas based on it.
        digest: digest of that snapshot.
        schema: newest content schema that the child can compile.
        whole: whether the parent must send complete snapshots, because the
            child could not apply what it received.
        ready: epoch of the keeper set in which the child is ready as a keeper,
            zero for none.
        sent_ms: when it was sent, milliseconds of the child's boot_seconds;
            zero if the child needs no contacts.
    """

    node: str
    domain: str
    address: str
    active: int
    digest: str = ''
    schema: int = 1
    whole: bool = False
    ready: int = 0
    sent_ms: int = 0


class Ack(Struct, frozen=True, kw_only=True, tag='ack'):
    """Counts the nodes of a subtree that have staged or activated a version.

    Args:
        version: the version that is acknowledged.
        staged: number of nodes of the subtree that hold it compiled.
        active: number of nodes of the subtree that route by it or by a later
            version.
        nodes: number of nodes of the subtree.
        refusals: faults of nodes that cannot compile it.
        lagging: names of up to eight nodes that have neither staged nor
            refused it.
        holds: whether the child itself holds it compiled.
        ready: epoch of the keeper set in which the child is ready as a keeper,
            zero for none.
        spare: control addresses, by name, of up to eight nodes that could
            become keepers.
        sent_ms: as in `Hello`.
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
    sent_ms: int = 0


class Report(
    Struct, frozen=True, kw_only=True, omit_defaults=True, tag='report'
):
    """Reports what the nodes of a subtree have counted.

    Args:
        rows: evidence, summed by key and time window.
        usage: requests of accounts with a rate, summed by account.
    """

    rows: tuple[EvidenceRow, ...]
    usage: tuple[UsageRow, ...] = ()


class Shares(Struct, frozen=True, kw_only=True, tag='shares'):
    """Assigns shares of the rates of accounts to a subtree.

    Sent only where the configuration has accounts with a rate.

    Args:
        rows: the shares that have changed.
        is_complete: whether shares of accounts that are not listed end.
    """

    rows: tuple[ShareRow, ...]
    is_complete: bool = False


class Delta(Struct, frozen=True, kw_only=True):
    """The difference between two snapshots.

    Args:
        base: version it applies to.
        base_digest: digest of the base.
        version: version that results.
        digest: digest of the result.
        body: encoded changes, see `core.delta`.
    """

    base: int
    base_digest: str
    version: int
    digest: str
    body: bytes


class Stage(Struct, frozen=True, kw_only=True, tag='stage'):
    """Asks to compile a version while the version in force stays in use.

    Exactly one of snapshot and delta is given.
    """

    version: int
    snapshot: Snapshot | None = None
    delta: Delta | None = None


class Established(Struct, frozen=True, kw_only=True, tag='established'):
    """States that a majority of the domain's keepers hold a version as active.

    Sent when a version is established, and with each heartbeat of a parent.

    Args:
        version: the version.
        epoch: epoch of the domain's keeper set that the parent holds.
        age_ms: time since the last contact with the leader of the sources,
            through all parents up to it, in milliseconds.
        since_ms: time since the version was accepted, in milliseconds.
        contact: when a version was known to be the newest, for this child;
            None if it needs none or none is known.
    """

    version: int
    epoch: int
    age_ms: int = 0
    since_ms: int = 0
    contact: Contact | None = None


class Activated(Struct, frozen=True, kw_only=True, tag='activated'):
    """States that a version is committed as active in the replicated log.

    Only the leader of the sources sends it, only to keepers, and repeats it
    with each heartbeat.

    Args:
        version: the version.
        epoch: epoch of the keeper set of the receiver's domain.
        since_ms: time since this leader found it active, in milliseconds.
        contact: as in `Established`.
    """

    version: int
    epoch: int
    since_ms: int = 0
    contact: Contact | None = None


class Abandoned(Struct, frozen=True, kw_only=True, tag='abandoned'):
    """Requests that the child drop a staged version."""

    version: int


class Keepers(Struct, frozen=True, kw_only=True, tag='keepers'):
    """The keeper sets of all failure domains."""

    sets: tuple[KeeperSet, ...]


class Ages(Struct, frozen=True, kw_only=True, tag='ages'):
    """Reports how long ago summaries of other domains were confirmed.

    Args:
        ages_ms: time since the last confirmation by failure domain, in
            milliseconds.
    """

    ages_ms: dict[str, int]


class Redirect(Struct, frozen=True, kw_only=True, tag='redirect'):
    """Requests that the child attach to another parent.

    Args:
        address: control address to attach to next, empty where the child has
            to choose one itself.
        reason: why, for log lines.
    """

    address: str
    reason: str


class Join(Struct, frozen=True, kw_only=True, tag='join'):
    """Asks a source or a node for the keeper sets.

    Args:
        node: name of the asking node.
        domain: its failure domain.
        address: host:port of its control listener.
    """

    node: str
    domain: str
    address: str


class Joined(Struct, frozen=True, kw_only=True, tag='joined'):
    """Reply to `Join`.

    Args:
        sets: the keeper sets of all failure domains.
        leader: control address of the leader of the sources, empty if unknown.
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
        keepers: newest keeper set of the domain that it holds.
        held: version that the asking keeper holds as active, zero for none.
    """

    node: str
    domain: str
    keepers: KeeperSet | None = None
    held: int = 0


class Fetch(Struct, frozen=True, kw_only=True, tag='fetch'):
    """Asks a keeper for a complete snapshot.

    Args:
        node: name of the asking node.
        version: lowest version that is accepted.
    """

    node: str
    version: int


class CatchUpRequest(Struct, frozen=True, kw_only=True, tag='catch-up'):
    """Asks a member of the domain for its established version.

    Args:
        domain: the failure domain.
        held: established version of the asking node, zero for none or where
            the complete snapshot is needed.
        digest: digest of that snapshot.
    """

    domain: str
    held: int
    digest: str = ''


class CatchUpReply(Struct, frozen=True, kw_only=True, tag='caught-up'):
    """The established version of a member of the domain.

    Args:
        established: the version.
        stage: the message that stages it, None if it cannot be made.
    """

    established: Established
    stage: Stage | None = None


class Sync(Struct, frozen=True, kw_only=True, tag='sync'):
    """Exchanges the membership records of a failure domain, if they differ.

    Both request and reply; records are sent only if the digests differ.

    Args:
        domain: the failure domain.
        digest: digest of the sender's live members and record versions.
        members: all records that the sender holds; empty in the first request
            and in a reply with the same digest.
        suspicions: requests that are suspected to crash targets.
        withdrawals: runs of targets of the domain that drain or have left.
    """

    domain: str
    digest: str
    members: tuple[Member, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()
    withdrawals: tuple[Withdrawal, ...] = ()


class Withdraw(Struct, frozen=True, kw_only=True, tag='withdraw'):
    """Asks a node to hold withdrawals; the reply, without any, confirms it.

    Args:
        withdrawals: runs of targets that drain or have left.
    """

    withdrawals: tuple[Withdrawal, ...] = ()


class Exchange(Struct, frozen=True, kw_only=True, tag='exchange'):
    """Exchanges summaries of targets between keepers of two failure domains.

    Both request and reply.

    Args:
        domain: failure domain of the sender.
        mark: identifies the summary of the sender's domain.
        known: identifies the summary of the receiver's domain that the sender
            holds.
        summary: summary of the sender's domain, None where the receiver has
            it or it has not been asked for.
        suspicions: requests that are suspected to crash targets.
        withdrawals_digest: digest of the withdrawals that the sender holds of
            the domain that sends the query.
        withdrawals: withdrawals of that domain, where the digests differ.
    """

    domain: str
    mark: SummaryMark
    known: SummaryMark
    summary: Summary | None = None
    suspicions: tuple[Suspicion, ...] = ()
    withdrawals_digest: str = ''
    withdrawals: tuple[Withdrawal, ...] = ()


# From child to parent.
UpMessage = Hello | Ack | Report
# From parent to child.
DownMessage = (
    Stage
    | Established
    | Activated
    | Abandoned
    | Keepers
    | Summary
    | Ages
    | Shares
    | Redirect
)
