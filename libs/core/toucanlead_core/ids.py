"""Identifiers: how a program's id names its slot."""

import hashlib
import random

ID_RANDOM_BITS = 64


def slot_of_key(key: str, slots: int) -> int:
    """Return the slot (0 to slots - 1) that a text hashes to."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % slots


def program_id_for(team: str, idempotency_key: str, slots: int) -> str:
    """Return the id of a root program; equal keys of a team give equal ids."""
    digest = hashlib.blake2b(f'{team}\0{idempotency_key}'.encode(), digest_size=10)
    slot = slot_of_key(f'{team}\0{idempotency_key}', slots)
    return f'p{slot:04x}-{digest.hexdigest()}'


def child_id_for(parent_id: str, idempotency_key: str) -> str:
    """Return the id of a sub-agent's program, in the slot of its parent."""
    text = f'{parent_id}\0{idempotency_key}'.encode()
    digest = hashlib.blake2b(text, digest_size=10).hexdigest()
    return f'{parent_id.partition("-")[0]}-{digest}'


def slot_of_program(program_id: str, slots: int) -> int | None:
    """Return the slot written in a program's id, or None for a malformed id."""
    head, sep, tail = program_id.partition('-')
    if not sep or not tail or len(head) != 5 or head[0] != 'p':
        return None
    try:
        slot = int(head[1:], 16)
    except ValueError:
        return None
    return slot if slot < slots else None


def random_id(rng: random.Random) -> str:
    """Return a random identifier from the generator that is passed in."""
    return f'{rng.getrandbits(ID_RANDOM_BITS):016x}'


def rendezvous(key: str, members: list[str]) -> list[str]:
    """Order members by rendezvous hashing for a key, the best one first."""

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f'{key}\0{member}'.encode(), digest_size=8).digest()

    return sorted(members, key=weight, reverse=True)
