"""Chains of turns: an archive that holds a turn is to hold all turns before it too."""

from collections.abc import Awaitable, Callable, Iterable, Iterator

from toucanlead_peer.serving_interfaces import StoreResult, Turn

BATCH_TURNS = 64
BATCH_BYTES = 256_000  # takes 0.14 s on the 15 Mbit/s link between regions


def batches(turns: Iterable[Turn], most: int = BATCH_TURNS) -> Iterator[list[Turn]]:
    """Yield turns in batches that fit into one call each, at most `most` turns."""
    batch: list[Turn] = []
    size = 0
    for turn in turns:
        if batch and (len(batch) == most or size + turn.size > BATCH_BYTES):
            yield batch
            batch, size = [], 0
        batch.append(turn)
        size += turn.size
    if batch:
        yield batch


async def send_predecessors(
    result: StoreResult,
    chain_from: Callable[[str], Iterable[Turn]],
    copy: Callable[[list[Turn]], Awaitable[StoreResult]],
) -> bool:
    """Send an archive the predecessors that it named as missing; return whether it has all.

    `chain_from` returns a turn and its predecessors, newest first, empty if the turn is not at
    hand; `copy` sends turns to the archive. Only what is missing is sent, so that a chain is
    copied once when it moves to other archives and not with each of its turns.
    """
    sent: set[str] = set()
    pending = list(result.missing)
    while pending:
        ident = pending.pop()
        if ident in sent:
            continue
        batch = next(batches(chain_from(ident)), None)
        if batch is None:
            return False
        result = await copy(batch)
        if not result.stored or not sent.isdisjoint(result.missing):
            return False
        sent.update(turn.ident for turn in batch)
        pending += result.missing
    return True
