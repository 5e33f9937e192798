"""Safety of consensus under random orders of events and faults."""

from functools import partial

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

NAMES = ('r1', 'r2', 'r3')
MAX_ACTIONS = 120

position = st.integers(min_value=0, max_value=30)
name = st.sampled_from(NAMES)
seconds = st.sampled_from((0.05, 0.15, 0.3, 1.2, 2.5))

ACTIONS = st.one_of(
    st.tuples(st.just('deliver'), position),
    st.tuples(st.just('deliver_all'), st.just(())),
    st.tuples(
        st.just('deliver_all'), name.map(lambda disconnected: (disconnected,))
    ),
    st.tuples(st.just('pass_time'), seconds),
    st.tuples(st.just('settle'), seconds),
    st.tuples(st.just('propose'), name),
    st.tuples(st.just('repeat'), position),
    st.tuples(st.just('drop'), position),
    st.tuples(st.just('crash'), name),
    st.tuples(st.just('restart'), name),
    st.tuples(st.just('compact'), name),
    st.tuples(st.just('lose_folder'), name),
)


def _drop(cluster, index):
    if cluster.messages:
        cluster.messages.pop(index % len(cluster.messages))


def _restart(cluster, replica_name):
    if replica_name not in cluster.running:
        cluster.start(replica_name)


def _lose_folder(cluster, replica_name):
    """Lose a data folder if the folders of all other replicas are counted.

    Consensus survives the loss of one folder at a time, once the group has
    been bootstrapped.
    """
    if not cluster.committed:
        return
    for other in cluster.names:
        if other != replica_name and not _is_counted(cluster, other):
            return
    cluster.lose_folder(replica_name)


def _is_counted(cluster, replica_name):
    folder = cluster.disks[replica_name].hard.incarnation
    return folder == '' or any(
        replica.voters[replica_name] == folder
        for replica in cluster.running.values()
    )


SPECIAL = {
    'repeat': lambda cluster, index: cluster.deliver(index, keep=True),
    'drop': _drop,
    'restart': _restart,
    'lose_folder': _lose_folder,
}


def _run(cluster, actions):
    for action, argument in actions:
        if action in SPECIAL:
            SPECIAL[action](cluster, argument)
        else:
            getattr(cluster, action)(argument)


def _recover(cluster):
    """Start all replicas and deliver messages; a leader must commit then."""
    for replica_name in cluster.names:
        _restart(cluster, replica_name)
    cluster.settle(12.0)
    leader = cluster.leader()
    assert leader is not None
    before = cluster.running[leader].commit
    cluster.propose(leader)
    cluster.settle(2.0)
    assert max(replica.commit for replica in cluster.running.values()) > before


common = partial(
    settings,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@common(max_examples=150)
@given(actions=st.lists(ACTIONS, min_size=30, max_size=MAX_ACTIONS))
def test_three_replicas_keep_committed_entries(create_cluster, actions):
    cluster = create_cluster(NAMES)
    cluster.settle(4.0)
    _run(cluster, actions)


without_loss = ACTIONS.filter(lambda action: action[0] != 'lose_folder')


@common(max_examples=60)
@given(actions=st.lists(without_loss, min_size=10, max_size=MAX_ACTIONS))
def test_three_replicas_recover_after_any_faults(create_cluster, actions):
    cluster = create_cluster(NAMES)
    _run(cluster, actions)
    _recover(cluster)


@common(max_examples=40)
@given(actions=st.lists(ACTIONS, min_size=30, max_size=MAX_ACTIONS))
def test_five_replicas_keep_committed_entries(create_cluster, actions):
    cluster = create_cluster((*NAMES, 'r4', 'r5'))
    cluster.settle(4.0)
    _run(cluster, actions)
