"""Whose a program and a turn are, where the configuration lists teams."""

from collections.abc import Iterable
from urllib.parse import quote


def program_key(team: str | None, program: str) -> str:
    """Return what a program's budget is found by: two teams may use the same program id.

    `team` is None where there are no teams, and empty for a caller without one. A quoted team
    contains no slash, so that no other team and program have the same key.
    """
    return program if team is None else f'{quote(team, safe="")}/{program}'


def may_continue(team: str | None, recorded: Iterable[str | None]) -> bool:
    """Return whether a caller of a team may continue a chain of turns.

    `recorded` are the teams of the turns, newest first, None for a turn that was recorded
    without one. All turns of a chain are of one team. A chain without any record of a team
    may be continued by each caller that knows the id of its newest turn.
    """
    if team is None:
        return True
    return next((owner for owner in recorded if owner is not None), team) == team
