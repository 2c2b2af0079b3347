"""Settlement: the most that a holder can have spent of each root program's budget.

What the holder was granted beyond that returns to the budget.
"""

from collections.abc import Sequence

from toucanlead_state.ledger import Ledger, Program
from toucanlead_state.records import Finished, Record, Settled, Spent


def settlement(
    ledger: Ledger, holder: str, root_id: str, uncommitted: Sequence[Record] = ()
) -> Settled | None:
    """Return a holder's settlement of one root program, None without a grant.

    The limit is the sum of its durable expenses, its expenses in records that may not
    be durable (`uncommitted`), its reservations for calls in progress and its calls in doubt.
    """
    program = ledger.programs.get(root_id)
    if program is None or program.escrow is None or holder not in program.escrow.grants:
        return None
    tree = _program_tree(ledger, root_id)
    tree_ids = {p.program_id for p in tree}
    uncommitted_cost = sum(_cost(record) for record in uncommitted if record.program_id in tree_ids)
    in_doubt = sum(
        saved.claim.cost for p in tree for saved in p.claims.values() if saved.holder == holder
    )
    known = program.escrow.grants[holder].spent + program.escrow.reserved
    return Settled(root_id, holder, known + uncommitted_cost + in_doubt)


def settlements(ledger: Ledger, holder: str, uncommitted: Sequence[Record]) -> list[Settled]:
    """Return the settlements of all active root programs, after a takeover."""
    roots = [p for p in ledger.programs.values() if p.escrow is not None and not p.ended]
    found = (settlement(ledger, holder, root.program_id, uncommitted) for root in roots)
    return [one for one in found if one is not None]


def _program_tree(ledger: Ledger, root_id: str) -> list[Program]:
    programs = ledger.programs.values()
    return [p for p in programs if ledger.root_of(p).program_id == root_id]


def _cost(record: Record) -> int:
    if isinstance(record, Finished):
        return record.answer.cost
    return record.units if isinstance(record, Spent) else 0
