"""Admission: under overload new programs are turned away before running ones."""

from .fleet import Fleet
from .preset import Preset

ADMIT_DEADLINE_SHARE = 0.12  # a longer queue would make a new program late


def admit_program(fleet: Fleet, model: str, preset: Preset, deadline_s: float) -> float | None:
    """Return seconds after which to try again, None to admit a new program."""
    limit_s = min(preset.admit_queue_s, ADMIT_DEADLINE_SHARE * deadline_s)
    return _over(fleet.mean_queue_s(model), limit_s)


def admit_turn(fleet: Fleet, model: str, preset: Preset) -> float | None:
    """Return seconds after which to try again, None to admit a turn."""
    return _over(fleet.mean_queue_s(model), preset.turn_queue_s)


def _over(queue_s: float, limit_s: float) -> float | None:
    return queue_s - limit_s if queue_s > limit_s else None
