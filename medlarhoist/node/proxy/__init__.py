"""Proxy: forwards the calls of callers and other nodes to targets."""

from medlarhoist.node.proxy.proxy import Proxy, create_proxy

__all__ = (  # noqa: WPS410  the public names of the package
    'Proxy',
    'create_proxy',
)
