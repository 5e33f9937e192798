"""Input: decodes and validates the request bodies of the resource API.

Nodes, the proxies beside the targets, decode the same resource records and
must accept those of newer releases. The records therefore allow unknown keys,
and those in a request are found here.
"""

from collections.abc import Iterator
from typing import Any, TypeVar

from msgspec import DecodeError, ValidationError, json, msgpack
from msgspec import to_builtins as build_plain
from result import Err, Ok, Result

Body = TypeVar('Body')


def read_body(body: bytes, kind: type[Body]) -> Result[Body, str]:
    """Decode the JSON body of a request.

    Args:
        body: the bytes received.
        kind: type of the record that the body must hold.

    Returns:
        The record, or a short error message if the body is no valid JSON, has
        an unknown key or wrong type, or holds a number over 64 bits, which
        the ledger's encoding could not hold.
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


def find_unknown_keys(
    received: Any,
    decoded: Any,
    path: str = '$',
) -> Iterator[str]:
    """Yield the paths of received keys that no record has a field for.

    Args:
        received: built-ins as they were received.
        decoded: built-ins of the record that was decoded from them.
        path: path of both values from the top of the body.
    """
    if isinstance(received, dict) and isinstance(decoded, dict):
        for key, inner in received.items():
            if key in decoded:
                inner_path = f'{path}.{key}'
                yield from find_unknown_keys(inner, decoded[key], inner_path)
            else:
                yield f'{path}.{key}'
    elif isinstance(received, list):
        for index, inner in enumerate(received):
            inner_path = f'{path}[{index}]'
            yield from find_unknown_keys(inner, decoded[index], inner_path)
