"""Faults that the fault matrix injects into a virtual site; most of them end after a while."""

import abc
import contextlib
from collections.abc import Coroutine
from typing import Any

from attrs import evolve

from toucanlead_core.codec import to_json
from toucanlead_core.errors import PeerError, Refusal
from toucanlead_standins.engine_model import EngineModel

from .virtual_site import ZONES, VirtualEntryClient, VirtualSite

ENTRY_PAUSE_S = 8.0  # well over the lease's duration
OUTAGE_S = 6.0
CUT_S = 8.0
KV_DELAY_S = 0.4
RESTART_S = 2.0


class Fault(abc.ABC):
    """One kind of fault; `min_answered_share` of the calls must be answered despite it."""

    name: str
    min_answered_share = 1.0

    @abc.abstractmethod
    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Inject the fault at an entry; return True if this ends the entry's process."""


class ProcessDies(Fault):
    """The entry's process ends, and the platform restarts it."""

    name = 'process_dies'
    min_answered_share = 0.7  # a claim without an outcome stays in doubt, which stops its program

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Kill the entry, and restart it after `RESTART_S`."""
        site.kill(entry)
        site.restart_later(entry, RESTART_S)
        return True


class ProcessPaused(Fault):
    """The entry's process is paused past its lease's expiry, and resumes unaware of it."""

    name = 'process_paused'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Pause the entry for `ENTRY_PAUSE_S`."""
        process = site.entries[entry].process
        process.pause()
        site.call_later(ENTRY_PAUSE_S, process.resume)
        return False


class ToolHangs(Fault):
    """Tools accept calls and do not answer."""

    name = 'tool_hangs'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Make all tools hang for `OUTAGE_S`."""
        site.tools.faults.hang = True
        site.call_later(OUTAGE_S, lambda: setattr(site.tools.faults, 'hang', False))
        return False


class ToolAnswerLost(Fault):
    """A tool runs the next call, and its answer is lost."""

    name = 'tool_answer_lost'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Drop the next answer of a tool."""
        site.tools.faults.lose_answer = True
        return False


class EndlessProgram(Fault):
    """A program of another team repeats one call endlessly."""

    name = 'endless_program'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Start the program."""
        site.spawn(VirtualEntryClient(site).run_endless_program())
        return False


class KvDown(Fault):
    """The key-value service does not answer."""

    name = 'kv_down'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Stop answering for `OUTAGE_S`."""
        site.kv.down = True
        site.call_later(OUTAGE_S, lambda: setattr(site.kv, 'down', False))
        return False


class KvSlow(Fault):
    """The key-value service answers late."""

    name = 'kv_slow'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Delay every answer for `OUTAGE_S`."""
        site.kv.delay_s = KV_DELAY_S
        site.call_later(OUTAGE_S, lambda: setattr(site.kv, 'delay_s', 0.0))
        return False


class KvAnswerLost(Fault):
    """The key-value service applies the next writes, and their answers are lost."""

    name = 'kv_answer_lost'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Drop the answers to three writes."""
        site.kv.lose_answers = 3
        return False


class LeaseLapsed(Fault):
    """The lease ends while its holder is active and unaware of it."""

    name = 'lease_lapsed'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Revoke the lease; the holder does not renew it for 3 s, so others see it end."""
        slot_manager = site.entries[entry].entry.slot_manager
        site.kv.revoke(slot_manager.lease)
        slot_manager.stop_renewing_until(site.entries[entry].entry.ctx.timers.now() + 3.0)
        return False


class OperatorsRacing(Fault):
    """Operators change the configuration concurrently, based on the same revision."""

    name = 'operators_racing'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Submit a different change at every entry."""
        for name, running in site.entries.items():
            config = running.entry.config
            content = to_json(evolve(site.preset, name=name))
            sections = {f'preset/{name}': content}
            base = config.head.revision
            site.spawn(_await_change(config.change(base, sections, name, name, 'race')))
        return False


class ConnectionSilent(Fault):
    """Open connections carry no more data; new ones work."""

    name = 'connection_silent'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Stop delivery on all open connections."""
        site.network.silence_connections()
        return False


class ZoneCut(Fault):
    """The entry's availability zone is cut off from other zones, the platform and callers."""

    name = 'zone_cut'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Cut off the zone for `CUT_S`, callers included."""
        zone = site.entries[entry].process.place.zone
        site.network.cut_zone(zone, [*ZONES, 'norte-callers'])
        site.call_later(CUT_S, site.network.end_cuts)
        return False


class ZoneCutWithCallers(Fault):
    """The entry's availability zone is cut off, but callers still reach it."""

    name = 'zone_cut_with_callers'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Cut off the zone for `CUT_S`, except from callers."""
        zone = site.entries[entry].process.place.zone
        site.network.cut_zone(zone, list(ZONES))
        site.call_later(CUT_S, site.network.end_cuts)
        return False


class RegionCut(Fault):
    """The link between the regions is down."""

    name = 'region_cut'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Cut the link for `CUT_S`."""
        site.network.cut_regions = True
        site.call_later(CUT_S, site.network.end_cuts)
        return False


class BackendLeaving(Fault):
    """A backend server is marked as leaving, and ends `OUTAGE_S` later."""

    name = 'backend_leaving'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Mark the first replica by name as leaving, and end it later."""
        name = sorted(site.engines)[0]
        site.leaving.add(name)
        site.call_later(OUTAGE_S, lambda: _shut_down(site.engines[name]))
        return False


class ReplicaDies(Fault):
    """A replica crashes, and restarts with an empty cache."""

    name = 'replica_dies'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Crash the busiest replica for `OUTAGE_S`."""
        engine = max(site.engines.values(), key=lambda e: e.running)
        engine.faults.down = True
        engine.clear_cache()
        site.call_later(OUTAGE_S, lambda: setattr(engine.faults, 'down', False))
        return False


class EventsLost(Fault):
    """Cache events are lost, which leaves gaps in their numbers."""

    name = 'events_gapped'

    def inject(self, site: VirtualSite, entry: str) -> bool:
        """Drop the events of every replica for `OUTAGE_S`."""
        for engine in site.engines.values():
            engine.faults.drop_events = True
            site.call_later(OUTAGE_S, lambda e=engine: setattr(e.faults, 'drop_events', False))
        return False


FAULTS: dict[str, Fault] = {
    kind.name: kind()
    for kind in (
        ProcessDies,
        ProcessPaused,
        ToolHangs,
        ToolAnswerLost,
        EndlessProgram,
        KvDown,
        KvSlow,
        KvAnswerLost,
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


def _shut_down(engine: EngineModel) -> None:
    """End a backend server for good, with all that its memory holds."""
    engine.faults.down = True
    engine.clear_cache()


async def _await_change(work: Coroutine[Any, Any, Any]) -> None:
    """Await a change; refusals and connection errors are expected outcomes."""
    with contextlib.suppress(Refusal, PeerError):
        await work
