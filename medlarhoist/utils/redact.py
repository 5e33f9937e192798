"""Redact: makes a dump that is bounded in size and holds no secrets."""

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
    """Return a view as indented JSON.

    Args:
        view: records or built-ins.

    Returns:
        JSON in which collections are cut after MAX_ITEMS items, with the
        number of those left out, and values under secret names are hidden.
    """
    built = build_plain(view, str_keys=True, enc_hook=repr)
    return json.format(json.encode(_bound(built, MAX_DEPTH)), indent=2)


def _bound(view: Any, depth: int) -> Any:
    if isinstance(view, str):
        return view[:MAX_TEXT_CHARACTERS]
    if isinstance(view, Mapping):
        return _bound_mapping(view, depth) if depth else '...'
    if isinstance(view, list | tuple):
        return _bound_list(view, depth) if depth else '...'
    return view


def _bound_mapping(view: Mapping[str, Any], depth: int) -> dict[str, Any]:
    kept = list(view.items())[:MAX_ITEMS]
    bounded = {
        name: HIDDEN if name in _SECRET_NAMES else _bound(inner, depth - 1)
        for name, inner in kept
    }
    if len(view) > len(kept):
        bounded['...'] = f'{len(view) - len(kept)} more'
    return bounded


def _bound_list(view: list | tuple, depth: int) -> list[Any]:
    bounded = [_bound(inner, depth - 1) for inner in view[:MAX_ITEMS]]
    if len(view) > MAX_ITEMS:
        bounded.append(f'... {len(view) - MAX_ITEMS} more')
    return bounded
