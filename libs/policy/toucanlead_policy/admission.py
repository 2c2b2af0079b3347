"""Admission control: overload rejects new programs before turns of running ones."""

from .fleet import Fleet
from .preset import Preset

QUEUE_DEADLINE_SHARE = 0.12  # a longer wait in the queue would make a new program late


def admit_program(fleet: Fleet, model: str, preset: Preset, deadline_s: float) -> float | None:
    """Return None to admit a new program, else the seconds to wait before retrying."""
    limit_s = min(preset.admit_queue_s, QUEUE_DEADLINE_SHARE * deadline_s)
    return _excess_s(fleet.mean_queue_s(model), limit_s)


def admit_turn(fleet: Fleet, model: str, preset: Preset) -> float | None:
    """Return None to admit a turn, else the seconds to wait before retrying."""
    return _excess_s(fleet.mean_queue_s(model), preset.turn_queue_s)


def _excess_s(queue_s: float, limit_s: float) -> float | None:
    return queue_s - limit_s if queue_s > limit_s else None
