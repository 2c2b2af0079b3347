"""Checkpoints of programs: a head and the parts of the history, each under 1 MB."""

from attrs import field, frozen

from toucanlead_core.codec import to_json

from .budget import Escrow, Grant
from .ledger import PendingClaim, Program
from .records import Claimed, Finished, Opened

PART_LIMIT_BYTES = 600_000


@frozen
class SavedClaim:
    """A claim without an outcome and the holder that made it, as stored in a head."""

    claim: Claimed
    holder: str


@frozen
class Head:
    """The state of a program without its turns.

    `turns` and `parts` are counts; `applied` is the same as in `Program`.
    """

    opened: Opened
    turns: int
    parts: int
    ended: bool
    nonce: str
    grants: dict[str, Grant] = field(factory=dict)
    claims: list[SavedClaim] = field(factory=list)
    replicas: list[str] = field(factory=list)
    branches: list[Finished] = field(factory=list)
    applied: dict[str, int] = field(factory=dict)


@frozen
class Part:
    """Consecutive turns of a program's history."""

    turns: list[Finished]


def unsaved_parts(program: Program) -> list[Part]:
    """Return the turns that no saved part contains, split into parts by size."""
    parts: list[Part] = []
    turns: list[Finished] = []
    size_bytes = 0
    for turn in program.turns[program.saved_turns :]:
        turn_bytes = len(to_json(turn))
        if turns and size_bytes + turn_bytes > PART_LIMIT_BYTES:
            parts.append(Part(turns))
            turns, size_bytes = [], 0
        turns.append(turn)
        size_bytes += turn_bytes
    if turns:
        parts.append(Part(turns))
    return parts


def make_head(program: Program, parts: int, applied: dict[str, int], nonce: str) -> Head:
    """Return the head of a program whose history is in `parts` parts."""
    return Head(
        opened=program.opened,
        turns=len(program.turns),
        parts=parts,
        ended=program.ended,
        nonce=nonce,
        grants=program.escrow.grants if program.escrow else {},
        claims=[SavedClaim(pending.claim, pending.holder) for pending in program.claims.values()],
        replicas=sorted(program.replicas),
        branches=program.branches,
        applied=applied,
    )


def restore(head: Head, parts: list[Part], head_rev: int) -> Program:
    """Rebuild a program from its checkpoint; `head_rev` is the revision of the head's key."""
    program = Program(opened=head.opened)
    if head.opened.parent is None:
        program.escrow = Escrow(total=head.opened.budget, grants=dict(head.grants))
    for turn in [turn for part in parts for turn in part.turns][: head.turns]:
        program.append(turn)
    program.claims = {
        saved.claim.seq: PendingClaim(saved.claim, saved.holder) for saved in head.claims
    }
    program.replicas = set(head.replicas)
    program.branches = list(head.branches)
    program.ended = head.ended
    program.applied = dict(head.applied)
    program.saved_turns = head.turns
    program.saved_parts = head.parts
    program.head_rev = head_rev
    return program
