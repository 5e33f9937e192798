"""Settings page: generates docs/SETTINGS.md from the settings records.

Run `python -m medlarhoist.parser.settings_page`, which prints the page, after
a change of the records or their docstrings.
"""

import re
import sys
from inspect import getdoc
from typing import Any, Final

from msgspec import NODEFAULT, Struct
from msgspec.inspect import (
    BoolType,
    Field,
    IntType,
    LiteralType,
    Metadata,
    StrType,
    StructType,
    VarTupleType,
    type_info,
)

from medlarhoist.core.settings import (
    Logs,
    NodeSettings,
    Operator,
    Peer,
    SourceSettings,
)

HEAD: Final = """# Settings

Written by `python -m medlarhoist.parser.settings_page`; do not edit.

A process reads one YAML file: `medlarhoistd --settings FILE`. With
`--check-settings` it checks the file and ends. Unknown keys are refused. A
fault names file, line, key and what would be accepted. Addresses are an IPv4
number and a port. Every source has the same `sources`, and so has every node.
"""
SECTIONS: Final = (
    ('A source (`role: source`)', SourceSettings),
    ('A node (`role: node`)', NodeSettings),
    ('Each of `sources`', Peer),
    ('Each of `operators`', Operator),
    ('`logs`', Logs),
)
_ARGUMENT: Final = re.compile(r'    (?P<name>\w+): (?P<text>.*)')
_CONTINUED: Final = re.compile(r'        (?P<text>\S.*)')


class Row(Struct, frozen=True, kw_only=True):
    """One row of a table on the page.

    Args:
        key: name of the key.
        accepted: accepted values in words.
        default: default in Markdown, or `required`.
        meaning: text of the key in the docstring of its record.
    """

    key: str
    accepted: str
    default: str
    meaning: str


def render_page() -> str:
    """Return the complete page as Markdown."""
    parts = [HEAD]
    for title, record in SECTIONS:
        rows = [_describe_row(row) for row in list_rows(record)]
        table = '\n'.join(rows)
        parts.append(
            f'## {title}\n\n'
            '| key | accepted | default | meaning |\n'
            f'|---|---|---|---|\n{table}\n',
        )
    return '\n'.join(parts)


def list_rows(record: type[Struct]) -> list[Row]:
    """Return a row for each key of a record, in the order of its fields.

    Raises:
        KeyError: the docstring of the record omits a key.
    """
    info = type_info(record)
    meanings = read_meanings(getdoc(record) or '')
    fields = info.fields if isinstance(info, StructType) else ()
    return [
        Row(
            key=field.name,
            accepted=describe_type(field.type),
            default=_describe_default(field),
            meaning=meanings[field.name],
        )
        for field in fields
    ]


def read_meanings(doc: str) -> dict[str, str]:
    """Return the text of each argument in the Args section of a docstring."""
    meanings: dict[str, str] = {}
    key = ''
    for line in doc.partition('Args:')[2].splitlines():
        found = _ARGUMENT.fullmatch(line)
        continued = _CONTINUED.fullmatch(line)
        if found is not None:
            key = found['name']
            meanings[key] = found['text']
        elif continued is not None and key:
            meanings[key] = f'{meanings[key]} {continued["text"]}'
    return meanings


def describe_type(info: Any) -> str:
    """Return in words which values a msgspec type accepts.

    Annotated types are described by the `description` of their schema.
    """
    if isinstance(info, Metadata):
        return str((info.extra_json_schema or {})['description'])
    if isinstance(info, VarTupleType):
        return f'list; each {describe_type(info.item_type)}'
    if isinstance(info, StructType):
        return 'mapping, see below'
    if isinstance(info, BoolType):
        return 'true or false'
    if isinstance(info, IntType):
        return f'whole number, {info.ge} to {info.le}'
    if isinstance(info, LiteralType):
        return ', '.join(f'`{choice}`' for choice in info.values)
    if isinstance(info, StrType) and info.min_length:
        return f'text, {info.min_length} characters at the least'
    return 'text'


def _describe_default(field: Field) -> str:
    if field.required:
        return 'required'
    default = field.default
    if default is NODEFAULT:
        return 'see below'
    if isinstance(default, Struct):
        return 'its defaults'
    if isinstance(default, bool):
        return f'`{default}`'.lower()
    return '`[]`' if isinstance(default, tuple) else f'`{default}`'


def _describe_row(row: Row) -> str:
    cells = (f'`{row.key}`', row.accepted, row.default, row.meaning)
    return f'| {" | ".join(cells)} |'


if __name__ == '__main__':
    sys.stdout.write(render_page())
