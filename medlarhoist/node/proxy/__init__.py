"""Proxy: forwards the calls of callers and other nodes to targets."""

from medlarhoist.node.proxy.factory import create_proxy
from medlarhoist.node.proxy.proxy import Proxy

__all__ = (  # noqa: WPS410  the public names of the package
    'Proxy',
    'create_proxy',
)
