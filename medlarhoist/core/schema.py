"""Check that every live node can compile a configuration before staging it."""

from msgspec import Struct

from medlarhoist.core.resource import Fault
from medlarhoist.core.snapshot import SCHEMA


class SupportedSchema(Struct, frozen=True):
    """Content schema that all live nodes support.

    Args:
        schema: newest schema that every live node can compile.
        nodes: names of some nodes that support no newer schema.
    """

    schema: int = SCHEMA
    nodes: tuple[str, ...] = ()


def check_schema(needed: int, supported: SupportedSchema) -> tuple[Fault, ...]:
    """Return why content cannot be staged, an empty tuple if it can.

    Args:
        needed: content schema of the snapshot.
        supported: content schema that the live nodes support.
    """
    if needed <= supported.schema:
        return ()
    nodes = ', '.join(supported.nodes) or 'some nodes'
    message = f'needs schema {needed}, but {nodes} compile {supported.schema}'
    return (Fault(source='schema', message=message),)
