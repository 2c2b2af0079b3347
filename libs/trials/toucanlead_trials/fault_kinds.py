"""Faults of the brief, each brought about at one moment and mended after a while."""

import abc
import contextlib
from collections.abc import Coroutine
from typing import Any

from attrs import evolve

from toucanlead_core.codec import to_json
from toucanlead_core.errors import PeerError, Refusal
from toucanlead_standins.engine_model import EngineModel

from .virtual_site import ZONES, VirtualPort, VirtualSite

PAUSE_S = 8.0  # well past the lease
OUTAGE_S = 6.0
CUT_S = 8.0
SLOW_ANSWER_S = 0.4
RESTART_S = 2.0


class Fault(abc.ABC):
    """One kind of fault; `minimum` is the least share of calls that must be served."""

    name: str
    minimum = 1.0

    @abc.abstractmethod
    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Bring the fault about at an entry; True when that entry ends here."""


class ProcessDies(Fault):
    """The entry ends, and the platform starts it again."""

    name = 'process_dies'
    minimum = 0.7  # a claim without an outcome stays in doubt, and its program stops there

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Kill it."""
        site.kill(entry)
        site.restart_later(entry, RESTART_S)
        return True


class ProcessPaused(Fault):
    """The entry is paused past its lease, and does not know it when it wakes."""

    name = 'process_paused'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Pause it."""
        gate = site.entries[entry].gate
        gate.pause()
        site.later(PAUSE_S, gate.resume)
        return False


class ToolHangs(Fault):
    """Tools take calls and do not answer."""

    name = 'tool_hangs'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Hang."""
        site.tools.faults.hang = True
        site.later(OUTAGE_S, lambda: setattr(site.tools.faults, 'hang', False))
        return False


class ToolAnswerLost(Fault):
    """A tool runs the next call and its answer is lost."""

    name = 'tool_answer_lost'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Lose one answer."""
        site.tools.faults.lose_answer = True
        return False


class EndlessProgram(Fault):
    """Another team's program begins to loop."""

    name = 'endless_program'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Start the loop."""
        site.spawn(VirtualPort(site).loop())
        return False


class StoreDown(Fault):
    """The key-value service does not answer."""

    name = 'kv_down'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Take it down."""
        site.kv.down = True
        site.later(OUTAGE_S, lambda: setattr(site.kv, 'down', False))
        return False


class StoreSlow(Fault):
    """The key-value service answers late."""

    name = 'kv_slow'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Slow it down."""
        site.kv.delay_s = SLOW_ANSWER_S
        site.later(OUTAGE_S, lambda: setattr(site.kv, 'delay_s', 0.0))
        return False


class StoreAnswerLost(Fault):
    """The next writes take effect and their answers are lost."""

    name = 'kv_answer_lost'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Lose three answers."""
        site.kv.lose_answers = 3
        return False


class LeaseLapsed(Fault):
    """The lease ends while its holder is active and does not know."""

    name = 'lease_lapsed'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Revoke it behind the holder's back, and let the others see it."""
        keeper = site.entries[entry].entry.keeper
        site.kv.revoke(keeper.lease)
        keeper.stop_renewing_until(site.entries[entry].entry.ctx.timers.now() + 3.0)
        return False


class OperatorsRacing(Fault):
    """Two operators change the configuration at once, on the same revision."""

    name = 'operators_racing'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Let every entry accept a change of its own."""
        for name, running in site.entries.items():
            config = running.entry.config
            content = to_json(evolve(site.preset, name=name))
            sections = {f'preset/{name}': content}
            base = config.head.revision
            site.spawn(_attempt(config.change(base, sections, name, name, 'race')))
        return False


class ConnectionSilent(Fault):
    """Every open connection goes silent for good; new ones work."""

    name = 'connection_silent'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Silence them."""
        site.network.silence()
        return False


class ZoneCut(Fault):
    """The entry's availability zone is cut off from all others and the platform."""

    name = 'zone_cut'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Cut it off."""
        zone = site.entries[entry].gate.place.zone
        site.network.cut_zone(zone, [*ZONES, 'norte-callers'])
        site.later(CUT_S, site.network.heal)
        return False


class ZoneCutWithCallers(Fault):
    """The zone is cut off, but callers still reach it."""

    name = 'zone_cut_with_callers'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Cut it off."""
        zone = site.entries[entry].gate.place.zone
        site.network.cut_zone(zone, list(ZONES))
        site.later(CUT_S, site.network.heal)
        return False


class RegionCut(Fault):
    """The regions lose each other."""

    name = 'region_cut'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Cut the link."""
        site.network.cut_regions = True
        site.later(CUT_S, site.network.heal)
        return False


class BackendLeaving(Fault):
    """A backend server is marked leaving, and ends soon after."""

    name = 'backend_leaving'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Mark the first replica, then take it away."""
        name = sorted(site.engines)[0]
        site.leaving.add(name)
        site.later(OUTAGE_S, lambda: _end(site.engines[name]))
        return False


class ReplicaDies(Fault):
    """A replica ends at once and comes back empty."""

    name = 'replica_dies'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Take the busiest replica down."""
        engine = max(site.engines.values(), key=lambda e: e.running)
        engine.faults.down = True
        engine.forget()
        site.later(OUTAGE_S, lambda: setattr(engine.faults, 'down', False))
        return False


class EventsLost(Fault):
    """Cache events come late and with gaps."""

    name = 'events_gapped'

    def begin(self, site: VirtualSite, entry: str) -> bool:
        """Drop events for a while."""
        for engine in site.engines.values():
            engine.faults.drop_events = True
            site.later(OUTAGE_S, lambda e=engine: setattr(e.faults, 'drop_events', False))
        return False


FAULTS: dict[str, Fault] = {
    kind.name: kind()
    for kind in (
        ProcessDies,
        ProcessPaused,
        ToolHangs,
        ToolAnswerLost,
        EndlessProgram,
        StoreDown,
        StoreSlow,
        StoreAnswerLost,
        LeaseLapsed,
        OperatorsRacing,
        ConnectionSilent,
        ZoneCut,
        ZoneCutWithCallers,
        RegionCut,
        BackendLeaving,
        ReplicaDies,
        EventsLost,
    )
}


def _end(engine: EngineModel) -> None:
    """End a backend server for good; what it held goes with it."""
    engine.faults.down = True
    engine.forget()


async def _attempt(work: Coroutine[Any, Any, Any]) -> None:
    """Let a change win or lose; who lost is told so, which is all we want."""
    with contextlib.suppress(Refusal, PeerError):
        await work
