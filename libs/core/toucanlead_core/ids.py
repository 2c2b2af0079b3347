"""Program ids, which contain their slot, and the hashing of keys to slots and members."""

import hashlib
import random

ID_RANDOM_BITS = 64


def slot_of_key(key: str, slots: int) -> int:
    """Return the slot, 0 to slots - 1, that a key hashes to."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % slots


def program_id_for(team: str, idempotency_key: str, slots: int) -> str:
    """Return the id of a root program; the same team and key always give the same id."""
    digest = hashlib.blake2b(f'{team}\0{idempotency_key}'.encode(), digest_size=10)
    slot = slot_of_key(f'{team}\0{idempotency_key}', slots)
    return f'p{slot:04x}-{digest.hexdigest()}'


def child_id_for(parent_id: str, idempotency_key: str) -> str:
    """Return the id of a sub-agent's program, which is in the same slot as its parent."""
    text = f'{parent_id}\0{idempotency_key}'.encode()
    digest = hashlib.blake2b(text, digest_size=10).hexdigest()
    return f'{parent_id.partition("-")[0]}-{digest}'


def slot_of_program(program_id: str, slots: int) -> int | None:
    """Return the slot that a program's id contains, or None if the id is malformed."""
    head, sep, tail = program_id.partition('-')
    if not sep or not tail or len(head) != 5 or head[0] != 'p':
        return None
    try:
        slot = int(head[1:], 16)
    except ValueError:
        return None
    return slot if slot < slots else None


def random_id(rng: random.Random) -> str:
    """Return a random 64-bit identifier as 16 hexadecimal digits."""
    return f'{rng.getrandbits(ID_RANDOM_BITS):016x}'


def rendezvous(key: str, members: list[str]) -> list[str]:
    """Return the members in rendezvous-hashing order for a key, highest weight first."""

    def weight(member: str) -> bytes:
        return hashlib.blake2b(f'{key}\0{member}'.encode(), digest_size=8).digest()

    return sorted(members, key=weight, reverse=True)
