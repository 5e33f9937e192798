"""Settings: parses and checks the YAML settings file of a process.

Types and unknown keys are checked by msgspec; addresses, duplicates and rules
between keys are checked here.
"""

from collections.abc import Iterator

from medlarhoist.core.resource import Fault
from medlarhoist.core.settings import (
    NodeSettings,
    Peer,
    Settings,
    SourceSettings,
)
from medlarhoist.parser.document import (
    Document,
    convert_document,
    fault_at,
    read_documents,
)

MAX_PORT = 65_535
_MAX_OCTET = 255

# Path of a value, like `$.sources[0].name`, and what is wrong with it.
PathMessages = Iterator[tuple[str, str]]


def parse_settings(
    text: str,
    source: str,
) -> tuple[Settings | None, tuple[Fault, ...]]:
    """Parse the settings of one process, at its start or on a reload.

    Args:
        text: complete text of the file.
        source: name of the file, for faults.

    Returns:
        The settings and no faults, or None and the faults found, each with
        file, line, key and what would be accepted. Of several type errors,
        only the first is found.
    """
    documents, faults = read_documents(text, source)
    if faults:
        return None, faults
    if len(documents) != 1:
        message = f'holds {len(documents)} YAML documents, not one'
        return None, (Fault(source=source, message=message),)
    document = documents[0]
    settings, type_faults = convert_document(document, Settings)
    if settings is None:
        return None, type_faults
    found = _find_faults(document, settings)
    return (None, found) if found else (settings, ())


def _find_faults(document: Document, settings: Settings) -> tuple[Fault, ...]:
    messages = [
        *_check_addresses(settings),
        *_check_peers(settings.sources),
    ]
    if isinstance(settings, SourceSettings):
        messages.extend(_check_source(settings))
    return tuple(
        fault_at(document, path, message) for path, message in messages
    )


def _check_source(settings: SourceSettings) -> PathMessages:
    names = {peer.name for peer in settings.sources}
    if settings.spare is None and settings.name not in names:
        yield '$.name', f'{settings.name!r} is not one of sources'
    if settings.spare is not None:
        yield from _check_address('$.spare.control', settings.spare.control)
        yield from _check_address('$.spare.api', settings.spare.api)
    if settings.keepers % 2 == 0:
        yield (
            '$.keepers',
            f'{settings.keepers} is even; 1, 3, 5 or 7 is accepted',
        )
    if not settings.data_folder:
        yield '$.data_folder', 'is empty; the path of a folder is accepted'
    operators = [operator.name for operator in settings.operators]
    for index, name in enumerate(operators):
        if name in operators[:index]:
            yield f'$.operators[{index}].name', f'{name!r} is a duplicate'


def _check_peers(peers: tuple[Peer, ...]) -> PathMessages:
    if len(peers) % 2 == 0:
        yield '$.sources', f'{len(peers)} sources; an odd number is accepted'
    names: set[str] = set()
    addresses: set[str] = set()
    for index, peer in enumerate(peers):
        path = f'$.sources[{index}]'
        if peer.name in names:
            yield f'{path}.name', f'{peer.name!r} is a duplicate'
        names.add(peer.name)
        for field, address in (('control', peer.control), ('api', peer.api)):
            yield from _check_address(f'{path}.{field}', address)
            if address in addresses:
                yield f'{path}.{field}', f'{address} is a duplicate'
            addresses.add(address)


def _check_addresses(settings: Settings) -> PathMessages:
    yield from _check_address('$.admin', settings.admin)
    if not isinstance(settings, NodeSettings):
        return
    yield from _check_address('$.control', settings.control)
    yield from _check_address('$.gossip', settings.gossip)
    yield from _check_address('$.entry', settings.entry)
    yield from _check_address('$.peer', settings.peer)
    for index, seed in enumerate(settings.seeds):
        yield from _check_address(f'$.seeds[{index}]', seed)


def _check_address(path: str, address: str) -> PathMessages:
    host, _, port = address.rpartition(':')
    parts = host.split('.')
    is_ip = len(parts) == 4 and all(
        part and int(part) <= _MAX_OCTET for part in parts
    )
    if not is_ip or not 1 <= int(port) <= MAX_PORT:
        yield path, f'{address!r} is not an address like 10.0.0.1:7000'
