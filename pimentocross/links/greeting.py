"""The handshake by which two entry VMs prove that they have the cluster's key.

    dialer -> [version, cluster, nonce]
    answer <- [version, nonce, proof]      or ["refused", reason]
    dialer -> [proof, process, name, address, zone]
    answer <- [process, name, address, zone]

A proof is an HMAC over the name of the side and both nonces. While a key is
being replaced, both keys are valid; each side signs with its first key.
"""

from collections.abc import Sequence
import hashlib
import hmac
import secrets
from typing import Any, NamedTuple, TypeVar

from pimentocross.codec import MessageError, convert
from pimentocross.links import const
from pimentocross.links.framing import FrameError, FrameStream

_MessageT = TypeVar("_MessageT", bound=tuple[Any, ...])


class GreetingError(Exception):
    """The peer has no valid key, another cluster or another version."""


class PeerIdentity(NamedTuple):
    """Identifies an entry VM's process.

    Attributes:
        process: Id of the process, which is never reused.
        name: Name of the VM.
        address: Address of its peer listener, as host:port.
        zone: Availability zone of the VM.
    """

    process: str
    name: str
    address: str
    zone: str


class Credentials(NamedTuple):
    """The cluster's name and its valid keys; proofs use the first key."""

    cluster: str
    keys: Sequence[bytes]


class _Opening(NamedTuple):
    version: int
    cluster: str
    nonce: bytes


class _Challenge(NamedTuple):
    version: int
    nonce: bytes
    proof: bytes


class _Proof(NamedTuple):
    proof: bytes
    process: str
    name: str
    address: str
    zone: str


async def greet(
    frames: FrameStream, local_identity: PeerIdentity, credentials: Credentials
) -> PeerIdentity:
    """Runs the handshake as the dialing side; returns the peer's identity.

    Raises:
        GreetingError: The peer refused, or did not prove that it has a key.
        FrameError: The peer sent an invalid frame.
    """
    nonce = secrets.token_bytes(const.NONCE_BYTES)
    opening = _Opening(const.PROTOCOL_VERSION, credentials.cluster, nonce)
    await frames.send(list(opening))
    challenge = _read(await _receive(frames), _Challenge)
    nonces = nonce + challenge.nonce
    _verify(challenge.proof, b"answer", nonces, credentials)
    proof = _prove(b"dialer", nonces, credentials.keys[0])
    await frames.send([proof, *local_identity])
    return _read(await _receive(frames), PeerIdentity)


async def answer_greeting(
    frames: FrameStream, local_identity: PeerIdentity, credentials: Credentials
) -> PeerIdentity:
    """Runs the handshake as the listener; returns the peer's identity.

    Raises:
        GreetingError: The peer did not prove that it has a key, or has another
            version or cluster.
        FrameError: The peer sent an invalid frame.
    """
    opening = _read(await _receive(frames), _Opening)
    if opening.version != const.PROTOCOL_VERSION:
        reason = f"version {const.PROTOCOL_VERSION} is spoken here"
        await _refuse(frames, reason)
    if opening.cluster != credentials.cluster:
        await _refuse(frames, "another cluster")
    nonce = secrets.token_bytes(const.NONCE_BYTES)
    nonces = opening.nonce + nonce
    proof = _prove(b"answer", nonces, credentials.keys[0])
    await frames.send([const.PROTOCOL_VERSION, nonce, proof])
    reply = _read(await _receive(frames), _Proof)
    _verify(reply.proof, b"dialer", nonces, credentials)
    await frames.send(list(local_identity))
    return PeerIdentity(reply.process, reply.name, reply.address, reply.zone)


async def _receive(frames: FrameStream) -> list[Any]:
    array = await frames.receive(const.MAX_GREETING_FRAME_BYTES)
    if array is None:
        raise GreetingError("closed during the greeting")
    if len(array) == 2 and array[0] == "refused":
        raise GreetingError(f"refused: {array[1]!r:.80}")
    return array


async def _refuse(frames: FrameStream, reason: str) -> None:
    await frames.send(["refused", reason])
    raise GreetingError(reason)


def _read(array: list[Any], cls: type[_MessageT]) -> _MessageT:
    try:
        return convert(array, cls)
    except MessageError as error:
        raise GreetingError(str(error)) from error


def _prove(side: bytes, nonces: bytes, key: bytes) -> bytes:
    return hmac.new(key, side + nonces, hashlib.sha256).digest()


def _verify(
    proof: bytes, side: bytes, nonces: bytes, credentials: Credentials
) -> None:
    matches = [
        hmac.compare_digest(proof, _prove(side, nonces, key))
        for key in credentials.keys
    ]
    if not any(matches):
        raise GreetingError("the key was not proved")


__all__ = [
    "Credentials",
    "FrameError",
    "GreetingError",
    "PeerIdentity",
    "answer_greeting",
    "greet",
]
