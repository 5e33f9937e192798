"""Tests of adding and pairing rows of evidence."""

from random import Random

from medlarhoist.core.evidence import (
    NO_ROUTE,
    EvidenceKey,
    EvidenceRow,
    clamped_domains,
    compact_rows,
    merge_rows,
    summarize,
)


def make_row(label, window, *, domain='a', route='book', succeeded=1):
    return EvidenceRow(
        key=EvidenceKey(domain, 'bookings', route, label),
        window=window,
        succeeded=succeeded,
        failed=1,
        latency=(0,) * window + (succeeded,),
    )


def test_rows_of_one_window_are_summed():
    rows = [make_row('v1', 2), make_row('v1', 2), make_row('v1', 3)]
    first, second = merge_rows(rows)
    assert (first.window, first.succeeded, first.failed) == (2, 2, 2)
    assert (first.latency, first.nodes) == ((0, 0, 2), 2)
    assert second == rows[2]


def test_order_and_grouping_do_not_matter():
    random = Random(5)
    rows = [
        make_row(random.choice(('v1', 'v2')), random.randrange(4))
        for _ in range(40)
    ]
    expected = merge_rows(rows)
    random.shuffle(rows)
    parts = merge_rows(rows[:20]) + merge_rows(rows[20:])
    assert merge_rows(parts) == expected


def test_old_windows_are_summed_into_one():
    rows = [
        make_row(label, window) for label in ('v1', 'v2') for window in range(9)
    ]
    once = compact_rows(rows, 4, 'v2')
    twice = compact_rows(once, 7, 'v2')
    assert twice == compact_rows(rows, 7, 'v2')
    assert [row.window for row in twice] == [6, 7, 8, 6, 7, 8]
    assert [row.succeeded for row in twice] == [7, 1, 1, 7, 1, 1]
    assert sum(twice[0].latency) == 7
    assert not twice[3].latency


def test_counts_of_both_versions_are_paired():
    rows = [
        make_row('v2', 2),
        make_row('v1', 1, succeeded=7),
        make_row('v1', 1, domain='b'),
        make_row('v0', 1),
    ]
    first, second = summarize(rows, 'v1', 'v2')
    assert (first.domain, second.domain) == ('a', 'b')
    assert [pair.window for pair in first.pairs] == [1, 2]
    assert first.pairs[0].old.succeeded == 7
    assert first.pairs[0].new.calls == 0
    assert first.pairs[1].new.calls == 2


def test_domain_is_clamped_if_more_than_half_of_its_nodes_are():
    def make_domain_rows(domain, nodes, clamped, window=9):
        key = EvidenceKey(domain, 'bookings', 'book', 'v1')
        clamp_key = EvidenceKey(domain, 'bookings', NO_ROUTE, 'v2')
        return [
            EvidenceRow(key=key, window=window, nodes=nodes),
            EvidenceRow(key=clamp_key, window=window, nodes=0, clamped=clamped),
        ]

    rows = [
        *make_domain_rows('a', 2, 1),
        *make_domain_rows('b', 2, 2),
        *make_domain_rows('c', 1, 1, window=5),
        *make_domain_rows('d', 3, 0),
    ]
    assert clamped_domains(rows, 'v2', 9) == ('b',)
