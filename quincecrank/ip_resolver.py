"""Name resolver of HTTP clients whose servers are named by IP address.

The library's resolver runs in a thread, whose start and result each wait for an
iteration of the event loop.
"""

import ipaddress
import socket
from typing import Any, Final

from tornado import netutil

_FAMILY_BY_VERSION: Final = {4: socket.AF_INET, 6: socket.AF_INET6}


class IpResolver(netutil.Resolver):
    """Resolves IP addresses at once, and no names."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the address.

        Raises
        ------
        OSError
            If `host` is no IP address.
        """
        try:
            version = ipaddress.ip_address(host).version
        except ValueError as error:
            raise OSError(f"{host!r} is no IP address") from error
        return [(_FAMILY_BY_VERSION[version], (host, port))]
