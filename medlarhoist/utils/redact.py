"""Encodes state dumps with a size limit and without secrets."""

from collections.abc import Mapping
from typing import Any, Final

from msgspec import json
from msgspec import to_builtins as build_plain

MAX_ITEMS: Final = 200
MAX_DEPTH: Final = 12
MAX_TEXT_CHARACTERS: Final = 2000
HIDDEN: Final = '(hidden)'

_SECRET_NAMES: Final = frozenset(
    (
        'authorization',
        'password',
        'secret',
        'shared_key',
        'token',
        'token_sha256',
    ),
)


def encode_dump(view: Any) -> bytes:
    """Encode a dump as indented JSON.

    Args:
        view: records or built-in types.

    Returns:
        JSON with values under secret names replaced by HIDDEN. Collections are
        truncated to MAX_ITEMS items, followed by the number of omitted items;
        texts to MAX_TEXT_CHARACTERS; nesting to MAX_DEPTH levels.
    """
    plain = build_plain(view, str_keys=True, enc_hook=repr)
    return json.format(json.encode(_limit(plain, MAX_DEPTH)), indent=2)


def _limit(view: Any, depth: int) -> Any:
    if isinstance(view, str):
        return view[:MAX_TEXT_CHARACTERS]
    if isinstance(view, Mapping):
        return _limit_mapping(view, depth) if depth else '...'
    if isinstance(view, list | tuple):
        return _limit_list(view, depth) if depth else '...'
    return view


def _limit_mapping(view: Mapping[str, Any], depth: int) -> dict[str, Any]:
    kept = list(view.items())[:MAX_ITEMS]
    limited = {
        name: HIDDEN if name in _SECRET_NAMES else _limit(inner, depth - 1)
        for name, inner in kept
    }
    if len(view) > len(kept):
        limited['...'] = f'{len(view) - len(kept)} more'
    return limited


def _limit_list(view: list | tuple, depth: int) -> list[Any]:
    limited = [_limit(inner, depth - 1) for inner in view[:MAX_ITEMS]]
    if len(view) > MAX_ITEMS:
        limited.append(f'... {len(view) - MAX_ITEMS} more')
    return limited
