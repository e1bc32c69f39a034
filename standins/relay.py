"""A TCP relay that can delay bytes, drop them silently, or reset connections.

It simulates a network element, such as a firewall or NAT, that loses the state of
connections without notifying their ends.
"""

import asyncio
import dataclasses
import enum
from typing import Final

from quincecrank import clock as clocks

_LISTEN_ADDRESS: Final = "127.0.0.1"
_READ_BYTES: Final = 65_536


class Direction(enum.Enum):
    """Direction of the bytes through the relay."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


BOTH_DIRECTIONS: Final = frozenset(Direction)


@dataclasses.dataclass(eq=False)
class _Link:
    """One relayed connection and the directions whose bytes are dropped."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter
    silent: frozenset[Direction] = frozenset()

    def abort(self) -> None:
        self.client.transport.abort()
        self.server.transport.abort()


class Relay:
    """Forwards connections from its own port to another one.

    Parameters
    ----------
    target_port : int
        Port on the loopback address.

    Attributes
    ----------
    delay_ms : int
        Delay of each chunk of bytes.
    bytes_per_second : int
        Bandwidth of each direction of a connection; 0 is unlimited.
    is_refusing : bool
        Whether new connections are reset.
    accepted : int
        Number of connections accepted so far.
    relayed_bytes : int
        Bytes forwarded so far, in both directions.
    """

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self.delay_ms = 0
        self.bytes_per_second = 0
        self.is_refusing = False
        self.accepted = 0
        self.relayed_bytes = 0
        self._target_port = target_port
        self._clock = clocks.SystemClock()
        self._links: set[_Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._new_link_silence: frozenset[Direction] = frozenset()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port chosen by the operating system."""
        self._server = await asyncio.start_server(self._accept, _LISTEN_ADDRESS, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        assert self._server is not None
        self._server.close()
        self.cut()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def silence(
        self,
        directions: frozenset[Direction] = BOTH_DIRECTIONS,
        also_new: bool = False,
    ) -> None:
        """Drop all further bytes of the open connections, without closing them.

        Parameters
        ----------
        directions : frozenset of Direction
            Directions whose bytes are dropped.
        also_new : bool
            Whether connections opened later, until `heal`, are silent too.
        """
        for link in self._links:
            link.silent |= directions
        if also_new:
            self._new_link_silence = directions

    def heal(self) -> None:
        """Relay new connections again; connections that are silent remain so."""
        self._new_link_silence = frozenset()

    def cut(self) -> None:
        """Reset all open connections at both ends."""
        for link in tuple(self._links):
            link.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        if self.is_refusing:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._relay(reader, writer)
        except asyncio.CancelledError:
            # The relay is being stopped; asyncio would log an error if this propagated.
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection(
                _LISTEN_ADDRESS, self._target_port
            )
        except OSError:
            return
        link = _Link(writer, server_writer, self._new_link_silence)
        self._links.add(link)
        try:
            await asyncio.gather(
                self._forward(link, reader, server_writer, Direction.TO_SERVER),
                self._forward(link, server_reader, writer, Direction.TO_CLIENT),
            )
        finally:
            self._links.discard(link)
            link.abort()

    async def _forward(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(_READ_BYTES):
                if self.delay_ms:
                    await self._clock.sleep(self.delay_ms)
                if self.bytes_per_second:
                    sent_s = len(data) / self.bytes_per_second
                    await self._clock.sleep(sent_s * clocks.MS_PER_SECOND)
                if direction in link.silent:
                    continue
                self.relayed_bytes += len(data)
                writer.write(data)
                await writer.drain()
            if direction not in link.silent:
                writer.write_eof()
        except OSError:
            if direction not in link.silent:
                link.abort()
