"""Domain check: what an operator should know before a domain is drained."""

from medlarhoist.core.api_messages import ResourceList, StatusReport
from medlarhoist.core.resource import Fault
from medlarhoist.ops.client import Reply, decode_reply


def find_domain_faults(status: Reply, domain: str) -> tuple[Fault, ...]:
    """Return the fault of a failure domain that the sources do not know.

    A misspelt name would be accepted otherwise, and drain nothing.

    Args:
        status: reply to GET /v1/status.
        domain: name of the failure domain.

    Returns:
        One fault; none if the domain is known, or no domain is.
    """
    names = _list_domains(status)
    if not names or domain in names:
        return ()
    message = f'no node has reported this domain; known are {sorted(names)}'
    return (Fault(source=f'domain {domain}', message=message),)


def leaves_no_domain(status: Reply, drains: Reply, domain: str) -> bool:
    """Return whether every known domain is drained once this one is.

    Calls are refused then, since a drain is never ignored.

    Args:
        status: reply to GET /v1/status.
        drains: reply to GET /v1/resources/domain-drain.
        domain: name of the failure domain.
    """
    found = decode_reply(drains, ResourceList)
    entries = () if found is None else found.entries
    drained = {domain, *(entry.key.name for entry in entries)}
    return drained.issuperset(_list_domains(status))


def _list_domains(status: Reply) -> list[str]:
    report = decode_reply(status, StatusReport)
    return [] if report is None else [item.domain for item in report.domains]
