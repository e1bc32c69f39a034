"""Authenticated packets between quincecrank's processes.

Terms
-----
packet
    Length (4 bytes, little endian), authentication tag (16 bytes), payload.  The
    payload is one ``Packet`` of ``wire.capnp``.
handshake
    Both ends send a hello with a nonce, then a proof: an HMAC over both hellos
    under the fleet secret.  The keys of the later tags derive from the same two
    hellos, so that a packet recorded on one connection is refused on any other.

Each direction has its own key and counts its packets, so that the tag check fails
after a lost, repeated or reordered packet.  The length is checked before the payload
is read.  Of an unauthenticated peer only the hello and the proof are parsed.
"""

import asyncio
import contextlib
import dataclasses
import enum
import hashlib
import hmac
import pathlib
import secrets
from typing import Any, Final

import capnp
from tornado import iostream

from quincecrank import arrived_bytes, ids

SCHEMA: Final[Any] = capnp.load(str(pathlib.Path(__file__).with_name("wire.capnp")))

MAX_PACKET_BYTES: Final = 16 * 1024 * 1024
MAX_HANDSHAKE_BYTES: Final = 4096
MAX_UNSENT_BYTES: Final = 64 * 1024 * 1024
_LENGTH_BYTES: Final = 4
_TAG_BYTES: Final = 16
HEADER_BYTES: Final = _LENGTH_BYTES + _TAG_BYTES
_NONCE_BYTES: Final = 32
_READ_CHUNK_BYTES: Final = 256 * 1024
_TRAVERSAL_LIMIT_WORDS: Final = MAX_PACKET_BYTES


class WireError(Exception):
    """A peer violated the protocol; the connection is closed."""


MALFORMED_ERRORS: Final = (capnp.KjException, ValueError)
"""Errors of a malformed packet, raised when it is opened or a field is accessed."""


class PeerRole(enum.Enum):
    """Programs that use this protocol."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclasses.dataclass(frozen=True)
class PeerIdentity:
    """Identity that a process declares to its peers in its hello.

    Attributes
    ----------
    fencing_number : FencingNumber
        Number that an agent took at the start of its process; 0 for an entry or an
        agent that has not registered yet.
    """

    role: PeerRole
    name: ids.VmName
    incarnation: ids.Incarnation
    data_centre: ids.DataCentre
    fencing_number: ids.FencingNumber = ids.FencingNumber(0)
    backend_server: ids.BackendServerName = ids.BackendServerName("")
    deployment: ids.DeploymentName = ids.DeploymentName("")


class _PacketAuthenticator:
    """Computes the tags of the packets in one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._count = 0

    def tag(self, payload: bytes) -> bytes:
        """Return the tag of the next packet and count it."""
        salt = self._count.to_bytes(16, "little")
        self._count += 1
        return hashlib.blake2b(
            payload, digest_size=_TAG_BYTES, key=self._key, salt=salt
        ).digest()


class Connection:
    """One connection to a peer, after the handshake.

    Sending never waits: the stream buffers packets up to the limit that it was created
    with.  If a slow peer exceeds the limit, the connection is closed.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        peer: PeerIdentity,
        outgoing: _PacketAuthenticator,
        incoming: _PacketAuthenticator,
    ) -> None:
        self.peer = peer
        self._stream = stream
        self._outgoing = outgoing
        self._incoming = incoming
        self._buffer = b""
        self._last_write: asyncio.Future[None] | None = None

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._stream.closed()

    @property
    def has_arrived(self) -> bool:
        """Whether bytes, or the end, have arrived that no `receive` has handled."""
        return not self.closed and not arrived_bytes.awaits_bytes(self._stream)

    def send(self, packet: Any) -> None:
        """Queue one packet; does nothing on a closed connection.

        Raises
        ------
        WireError
            If the packet exceeds `MAX_PACKET_BYTES`.
        """
        if self._stream.closed():
            return
        payload = packet.to_bytes()
        if len(payload) > MAX_PACKET_BYTES:
            raise WireError(f"packet of {len(payload)} bytes is too large to send")
        header = len(payload).to_bytes(_LENGTH_BYTES, "little")
        encoded_packet = header + self._outgoing.tag(payload) + payload
        try:
            future = self._stream.write(encoded_packet)
        except (iostream.StreamClosedError, iostream.StreamBufferFullError):
            self._stream.close()
            return
        future.add_done_callback(_retrieve_exception)
        self._last_write = future

    async def flush(self) -> None:
        """Wait until all packets have been written to the socket."""
        if self._last_write is not None and not self._stream.closed():
            with contextlib.suppress(iostream.StreamClosedError):
                await asyncio.shield(self._last_write)

    async def receive(self) -> Any:
        """Return the payload of the next packet.

        Raises
        ------
        WireError
            If the packet is oversized or its tag is wrong.
        tornado.iostream.StreamClosedError
            If the connection ended.
        """
        header = await self._read_exactly(HEADER_BYTES)
        length = int.from_bytes(header[:_LENGTH_BYTES], "little")
        if length > MAX_PACKET_BYTES:
            raise WireError(f"packet of {length} bytes exceeds {MAX_PACKET_BYTES}")
        payload = await self._read_exactly(length)
        if not hmac.compare_digest(header[_LENGTH_BYTES:], self._incoming.tag(payload)):
            raise WireError("packet has a wrong authentication tag")
        return payload

    async def _read_exactly(self, size: int) -> bytes:
        if len(self._buffer) < size:
            parts = [self._buffer]
            missing = size - len(self._buffer)
            while missing > 0:
                part = await self._stream.read_bytes(_READ_CHUNK_BYTES, partial=True)
                parts.append(part)
                missing -= len(part)
            self._buffer = b"".join(parts)
        data = self._buffer[:size]
        self._buffer = self._buffer[size:]
        return data

    def close(self) -> None:
        """End the connection at once."""
        self._stream.close()


def decode(payload: bytes) -> Any:
    """Return a context manager for the packet encoded in `payload`.

    Packets are validated as they are read: entering the context and every access to a
    field may raise one of `MALFORMED_ERRORS`.
    """
    return SCHEMA.Packet.from_bytes(
        payload, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
    )


def new_packet() -> Any:
    """Return an empty packet builder."""
    return SCHEMA.Packet.new_message()


async def handshake(
    stream: iostream.IOStream,
    own: PeerIdentity,
    fleet_secret: bytes,
    *,
    dialled: bool,
) -> Connection:
    """Authenticate both ends by the fleet secret and return the connection.

    Parameters
    ----------
    dialled : bool
        True at the end that opened the TCP connection.

    Raises
    ------
    WireError
        If the peer's hello or proof is invalid.
    tornado.iostream.StreamClosedError
        If the connection ended.
    """
    own_hello = _encode_hello(own)
    await _write_plain(stream, own_hello)
    peer_hello = await _read_plain(stream)
    peer = _decode_hello(peer_hello)
    hellos = (own_hello, peer_hello) if dialled else (peer_hello, own_hello)
    transcript = b"".join(hashlib.sha256(hello).digest() for hello in hellos)
    labels = (b"dialler", b"listener") if dialled else (b"listener", b"dialler")
    await _write_plain(stream, _encode_proof(fleet_secret, labels[0], transcript))
    proof = await _read_plain(stream)
    if not hmac.compare_digest(
        proof, _encode_proof(fleet_secret, labels[1], transcript)
    ):
        raise WireError(f"peer {peer.name} does not know the fleet secret")
    return Connection(
        stream,
        peer,
        outgoing=_PacketAuthenticator(
            _derive_tag_key(fleet_secret, labels[0], transcript)
        ),
        incoming=_PacketAuthenticator(
            _derive_tag_key(fleet_secret, labels[1], transcript)
        ),
    )


async def handshake_within(
    stream: iostream.IOStream,
    own: PeerIdentity,
    fleet_secret: bytes,
    *,
    dialled: bool,
    timeout_ms: int,
) -> Connection:
    """Perform `handshake` within `timeout_ms` milliseconds.

    The stream is closed if it fails; a timeout raises `WireError`.
    """
    pending = handshake(stream, own, fleet_secret, dialled=dialled)
    try:
        return await asyncio.wait_for(pending, timeout_ms / 1000)
    except TimeoutError:
        stream.close()
        raise WireError(f"no handshake within {timeout_ms} ms") from None
    except BaseException:
        stream.close()
        raise


def _encode_hello(own: PeerIdentity) -> bytes:
    packet = new_packet()
    hello = packet.init("hello")
    hello.role = own.role.value
    hello.name = own.name
    hello.incarnation = own.incarnation
    hello.fencingNumber = own.fencing_number
    hello.nonce = secrets.token_bytes(_NONCE_BYTES)
    hello.backendServer = own.backend_server
    hello.deployment = own.deployment
    hello.dataCentre = own.data_centre
    encoded: bytes = packet.to_bytes()
    return encoded


def _decode_hello(payload: bytes) -> PeerIdentity:
    try:
        with decode(payload) as packet:
            if packet.which() != "hello":
                raise WireError("first packet is not a hello")
            hello = packet.hello
            if len(hello.nonce) != _NONCE_BYTES:
                raise WireError("hello has no nonce")
            return PeerIdentity(
                role=PeerRole(str(hello.role)),
                name=ids.VmName(hello.name),
                incarnation=ids.Incarnation(hello.incarnation),
                data_centre=ids.DataCentre(hello.dataCentre),
                fencing_number=ids.FencingNumber(hello.fencingNumber),
                backend_server=ids.BackendServerName(hello.backendServer),
                deployment=ids.DeploymentName(hello.deployment),
            )
    except MALFORMED_ERRORS as error:
        raise WireError(f"hello is malformed: {error}") from error


def _encode_proof(secret: bytes, label: bytes, transcript: bytes) -> bytes:
    digest = hmac.digest(secret, b"proof:" + label + transcript, "sha256")
    packet = new_packet()
    packet.init("proof").digest = digest
    encoded: bytes = packet.to_bytes()
    return encoded


def _derive_tag_key(secret: bytes, label: bytes, transcript: bytes) -> bytes:
    return hmac.digest(secret, b"packets:" + label + transcript, "sha256")


async def _write_plain(stream: iostream.IOStream, payload: bytes) -> None:
    await stream.write(len(payload).to_bytes(_LENGTH_BYTES, "little") + payload)


async def _read_plain(stream: iostream.IOStream) -> bytes:
    length = int.from_bytes(await stream.read_bytes(_LENGTH_BYTES), "little")
    if length > MAX_HANDSHAKE_BYTES:
        raise WireError(f"handshake packet of {length} bytes is too large")
    return await stream.read_bytes(length)


def _retrieve_exception(future: "asyncio.Future[None]") -> None:
    if not future.cancelled():
        future.exception()
