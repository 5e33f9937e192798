"""Document: YAML documents with the line of each value.

Settings and manifests are both parsed with it. Types are checked by msgspec;
the paths in its errors are mapped to lines here.
"""

import re
from collections.abc import Iterator
from typing import Any, Final

import yaml
from msgspec import Struct, ValidationError, convert

from medlarhoist.core.resource import Fault

SIZE_LIMIT_BYTES: Final = 4_194_304

_ERROR: Final = re.compile('(?P<text>.*?)(?: - at `(?P<path>[^`]*)`)?')
_FIELD: Final = re.compile('unknown field `(?P<field>[^`]*)`')
_ROOT: Final = '$'


class Document(Struct, frozen=True, kw_only=True):
    """One YAML document.

    Args:
        source: name of the file, for faults.
        content: dicts, lists and scalars; None for an empty document.
        lines: line of each value, counted from 1, by path like
            `$.sources[0].name`.
    """

    source: str
    content: Any
    lines: dict[str, int]


_ParsedDocument = tuple[Document, list[Fault]]


class _Loader(yaml.SafeLoader):
    """Safe loader that keeps timestamps as text and refuses aliases.

    Settings and manifests never need aliases.
    """

    def compose_node(self, parent: Any, index: Any) -> Any:
        """Compose a node; called by PyYAML.

        Raises:
            MarkedYAMLError: the node is an alias.
        """
        if self.check_event(yaml.AliasEvent):
            event = self.peek_event()
            problem = 'aliases are not accepted'
            raise yaml.MarkedYAMLError(
                problem=problem,
                problem_mark=event.start_mark,
            )
        return super().compose_node(parent, index)


_Loader.yaml_implicit_resolvers = {
    first: [pair for pair in pairs if not pair[0].endswith(':timestamp')]
    for first, pairs in yaml.SafeLoader.yaml_implicit_resolvers.items()
}


def read_documents(
    text: str,
    source: str,
) -> tuple[tuple[Document, ...], tuple[Fault, ...]]:
    """Parse the YAML documents of a text.

    Args:
        text: complete text of a file.
        source: name of the file, for faults.

    Returns:
        The documents up to the first syntax error, and all faults found:
        size, syntax and duplicate keys.
    """
    if len(text.encode()) > SIZE_LIMIT_BYTES:
        message = f'larger than {SIZE_LIMIT_BYTES} bytes'
        return (), (Fault(source=source, message=message),)
    documents: list[Document] = []
    faults: list[Fault] = []
    try:
        for document, duplicates in _read_nodes(_Loader(text), source):
            documents.append(document)
            faults.extend(duplicates)
    except yaml.YAMLError as exc:
        faults.append(_yaml_fault(exc, source))
    except ValueError as exc:
        faults.append(Fault(source=source, message=f'invalid YAML: {exc}'))
    except RecursionError:
        faults.append(Fault(source=source, message='nested too deeply'))
    return tuple(documents), tuple(faults)


def convert_document(
    document: Document,
    record_type: Any,
) -> tuple[Any, tuple[Fault, ...]]:
    """Convert a document to a record and check its types.

    Args:
        document: the document.
        record_type: type of the record, or a union of tagged types.

    Returns:
        The record and no faults, or None and the first fault that msgspec
        finds, with file, line and field.
    """
    try:
        return convert(document.content, type=record_type), ()
    except ValidationError as exc:
        return None, (_conversion_fault(document, str(exc)),)


def fault_at(document: Document, path: str, message: str) -> Fault:
    """Return a fault with the line and field of one value of a document.

    Args:
        document: the document.
        path: path of the value, like `$.sources[0].name`; a path without a
            line gets that of the document.
        message: what is wrong with the value.
    """
    line = document.lines.get(path) or document.lines[_ROOT]
    field = path.removeprefix(_ROOT).removeprefix('.')
    text = f'{field}: {message}' if field else message
    return Fault(source=f'{document.source}:{line}', message=text)


def _read_nodes(
    loader: _Loader,
    source: str,
) -> Iterator[_ParsedDocument]:
    while loader.check_node():
        node = loader.get_node()
        if node is None:
            return
        document = Document(
            source=source,
            content=loader.construct_document(node),
            lines=dict(_iter_lines(node, _ROOT)),
        )
        yield document, list(_find_duplicate_keys(node, source))


def _iter_lines(node: yaml.Node, path: str) -> Iterator[tuple[str, int]]:
    yield path, node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            child_path = f'{path}.{key.value}'
            yield from _iter_lines(child, child_path)
            yield child_path, key.start_mark.line + 1
    elif isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            yield from _iter_lines(child, f'{path}[{index}]')


def _find_duplicate_keys(node: yaml.Node, source: str) -> Iterator[Fault]:
    if isinstance(node, yaml.SequenceNode):
        for child in node.value:
            yield from _find_duplicate_keys(child, source)
    if not isinstance(node, yaml.MappingNode):
        return
    seen = set()
    for key, child in node.value:
        if key.value in seen:
            line = key.start_mark.line + 1
            message = f'{key.value}: duplicate key'
            yield Fault(source=f'{source}:{line}', message=message)
        seen.add(key.value)
        yield from _find_duplicate_keys(child, source)


def _yaml_fault(exc: yaml.YAMLError, source: str) -> Fault:
    mark = getattr(exc, 'problem_mark', None)
    problem = getattr(exc, 'problem', None) or str(exc)
    where = source if mark is None else f'{source}:{mark.line + 1}'
    return Fault(source=where, message=f'invalid YAML: {problem}')


def _conversion_fault(document: Document, error: str) -> Fault:
    found = _ERROR.fullmatch(error)
    path = _ROOT
    text = error
    if found is not None:
        path = found['path'] or _ROOT
        text = found['text']
    unknown = _FIELD.search(text)
    if unknown is not None:
        path = f'{path}.{unknown["field"]}'
    return fault_at(document, path, text)
