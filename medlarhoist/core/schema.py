"""Schema: keeps content that an old node cannot compile from being staged."""

from msgspec import Struct

from medlarhoist.core.resource import Fault
from medlarhoist.core.snapshot import SCHEMA


class SupportedSchema(Struct, frozen=True):
    """The oldest content schema among the live nodes.

    Args:
        schema: newest schema that all of them compile.
        nodes: names of some nodes that compile no newer one.
    """

    schema: int = SCHEMA
    nodes: tuple[str, ...] = ()


def check_schema(needed: int, floor: SupportedSchema) -> tuple[Fault, ...]:
    """Return why content cannot be staged, nothing where it can.

    Args:
        needed: content schema of the snapshot.
        floor: what the live nodes compile.
    """
    if needed <= floor.schema:
        return ()
    nodes = ', '.join(floor.nodes) or 'some nodes'
    message = f'needs schema {needed}, but {nodes} compile {floor.schema}'
    return (Fault(source='schema', message=message),)
