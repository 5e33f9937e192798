"""Input of the resource API: bodies turned into records, strictly.

The records of resources are shared with nodes, which must be able to read
newer ones; unknown keys are therefore looked for here.
"""

from collections.abc import Iterator
from typing import Any, TypeVar

from msgspec import DecodeError, ValidationError, json, msgpack
from msgspec import to_builtins as build_plain
from result import Err, Ok, Result

Body = TypeVar('Body')


def read_body(body: bytes, kind: type[Body]) -> Result[Body, str]:
    """Read the body of a request.

    Args:
        body: the bytes that came.
        kind: record that the body must hold.

    Returns:
        The record, or a short sentence that names what is wrong.
    """
    try:
        request = json.decode(body, type=kind)
    except (DecodeError, ValidationError, UnicodeDecodeError) as exc:
        return Err(f'body: {exc}')
    except RecursionError:
        return Err('body: nested too deeply')
    unknown = find_unknown_keys(json.decode(body), build_plain(request))
    path = next(unknown, '')
    if path:
        return Err(f'body: unknown key `{path}`')
    try:
        msgpack.encode(request)
    except OverflowError:
        return Err('body: a number does not fit into 64 bits')
    return Ok(request)


def find_unknown_keys(given: Any, known: Any, path: str = '$') -> Iterator[str]:
    """Yield the paths of keys that were given but not understood.

    Args:
        given: built-ins as they were received.
        known: built-ins of the record that was made from them.
        path: where the two are, for the messages.
    """
    if isinstance(given, dict) and isinstance(known, dict):
        for key, inner in given.items():
            if key in known:
                inner_path = f'{path}.{key}'
                yield from find_unknown_keys(inner, known[key], inner_path)
            else:
                yield f'{path}.{key}'
    elif isinstance(given, list):
        for index, inner in enumerate(given):
            inner_path = f'{path}[{index}]'
            yield from find_unknown_keys(inner, known[index], inner_path)
