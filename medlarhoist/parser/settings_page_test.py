"""Tests that docs/SETTINGS.md matches the settings records."""

from pathlib import Path

from medlarhoist.parser.settings_page import SECTIONS, list_rows, render_page

PAGE = Path(__file__).parents[2] / 'docs' / 'SETTINGS.md'


def test_the_page_is_up_to_date():
    assert PAGE.read_text() == render_page()


def test_every_key_has_a_meaning():
    rows = [row for _, record in SECTIONS for row in list_rows(record)]
    assert rows
    assert all(row.meaning.strip() for row in rows)
