"""A site in virtual time: entries and stand-ins, connected by a simulated network."""

import asyncio
import random

import orjson
from attrs import define, field

from toucanlead_backends.engine import ModelEngine
from toucanlead_core.codec import to_json
from toucanlead_core.errors import ExecutionStatus, NotSent, OutcomeUnknown, PeerError, Refusal
from toucanlead_core.ids import child_id_for, program_id_for
from toucanlead_core.messages import CallKind, Message, ProgramSpec
from toucanlead_core.timers import LoopTimers
from toucanlead_entry.context import (
    Backends,
    Context,
    Identity,
    Intervals,
    NoObserver,
    StepObserver,
    ToolSpec,
)
from toucanlead_entry.entry import Entry
from toucanlead_entry.problems import problem_document
from toucanlead_kv.vm_list import Vm, VmList, VmState
from toucanlead_peer.messages import ForwardReq, Operation, Result
from toucanlead_policy.cache_estimates import CacheEstimates
from toucanlead_policy.fleet import Fleet, ReplicaState
from toucanlead_policy.preset import Preset
from toucanlead_policy.routing import ExpectedCostRouter
from toucanlead_standins.engine_model import EngineModel, EngineRates
from toucanlead_standins.kv_model import KvModel
from toucanlead_standins.network import Place, SimulatedNetwork, SimulatedProcess
from toucanlead_standins.network_clients import (
    SimulatedEngineClient,
    SimulatedPeerClient,
    SimulatedStoreClient,
    SimulatedToolClient,
    await_while_alive,
)
from toucanlead_standins.recorder import Recorder
from toucanlead_standins.tool_model import EFFECT_TOOLS, ToolModel

from .caller import EntryClient, Reply
from .trace import TraceCall, TraceProgram
from .workload import FLAMAVIVA, WorkloadShape

HOME_REGION = 'centro'
REMOTE_REGION = 'norte'
ZONES = ('centro-a', 'centro-b', 'norte-a', 'centro-platform')
SLOTS = 6
TOOL_DEADLINE_S = 2.0
REQUEST_TIMEOUT_S = 5.0  # shorter than an entry's pause, so that callers try another entry
ENDLESS_PROGRAM_CALLS = 100
PAUSED_ENTRY_REQUEST_PERIOD = 4  # one request in this many may still go to a paused entry
ENTRY_PLACES = {
    'centro-1': Place(HOME_REGION, 'centro-a'),
    'centro-2': Place(HOME_REGION, 'centro-b'),
    'norte-1': Place(REMOTE_REGION, 'norte-a'),
}


class _NetworkVmList(VmList):
    """The platform's list of VMs, read by one entry over the simulated network."""

    def __init__(self, site: 'VirtualSite', process: SimulatedProcess) -> None:
        self._site = site
        self._process = process

    async def read(self) -> list[Vm]:
        await self._site.network.send(self._process, self._site.kv_process)
        return [
            Vm(name, 'centro-a', VmState.LEAVING if name in self._site.leaving else VmState.LIVE)
            for name in self._site.engines
        ]


@define
class VirtualEntry:
    """An entry, and its process on the network."""

    process: SimulatedProcess
    entry: Entry


@define
class VirtualSite:
    """The entries, stand-ins and network of one case, with all their state."""

    seed: int = 1
    observer: StepObserver = field(factory=NoObserver)
    preset: Preset = field(factory=lambda: Preset(progress_timeout_s=2.0, gap_wait_s=3.0))
    shape: WorkloadShape = FLAMAVIVA
    network: SimulatedNetwork = field(factory=SimulatedNetwork)
    recorder: Recorder = field(factory=Recorder)
    engines: dict[str, EngineModel] = field(factory=dict)
    engine_processes: dict[str, SimulatedProcess] = field(factory=dict)
    entries: dict[str, VirtualEntry] = field(factory=dict)
    leaving: set[str] = field(factory=set)
    # The cache is so small that retention decides under memory pressure.
    rates: EngineRates = field(factory=lambda: EngineRates(cache_limit_tokens=150))
    exports: dict[str, list[Message]] = field(factory=dict)
    places: dict[str, Place] = field(factory=lambda: dict(ENTRY_PLACES))
    intervals: Intervals = field(factory=lambda: Intervals(forward_wait_s=12.0))
    kv: KvModel = field(init=False)
    tools: ToolModel = field(init=False)
    kv_process: SimulatedProcess = field(init=False)
    tool_process: SimulatedProcess = field(init=False)
    caller_process: SimulatedProcess = field(init=False)
    _directory: dict = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)
    _starts: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the stand-ins and their processes."""
        self.kv = KvModel(asyncio.get_running_loop().time)
        self.kv_process = SimulatedProcess('kv', Place(HOME_REGION, 'centro-platform'))
        self.tool_process = SimulatedProcess('tools', Place(HOME_REGION, 'centro-platform'))
        self.caller_process = SimulatedProcess('callers', Place(REMOTE_REGION, 'norte-callers'))
        prices = dict.fromkeys([*EFFECT_TOOLS, self.shape.lookup, self.shape.app_tool], 1)
        self.tools = ToolModel('tools', self.recorder, prices=prices)
        for number, zone in enumerate(('centro-a', 'centro-b', 'centro-b')):
            name = f'{self.shape.model}-{number}'
            self.engines[name] = EngineModel(name, self.recorder, self.rates, self.exports)
            self.engine_processes[name] = SimulatedProcess(name, Place(HOME_REGION, zone))

    async def start(self) -> None:
        """Start all entries, and wait until every slot is owned."""
        await asyncio.gather(*(self.start_entry(name) for name in self.places))
        async with asyncio.timeout(60):
            while len(self.kv.scan('slots/')) < SLOTS:
                await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    async def start_entry(self, name: str) -> None:
        """Start an entry as a new process; it stays down if it cannot register."""
        process = SimulatedProcess(name, self.places[name])
        entry = Entry(self._context(name, process), _NetworkVmList(self, process))
        self.entries[name] = VirtualEntry(process, entry)
        self._directory[name] = (process, entry)
        try:
            await entry.start()
        except PeerError:
            return

    def kill(self, name: str) -> None:
        """Kill an entry's process."""
        running = self.entries.get(name)
        if running is not None and running.process.alive:
            running.process.kill()
            self.spawn(running.entry.kill())

    def restart_later(self, name: str, delay_s: float) -> None:
        """Restart a dead entry after a delay, as the platform does."""

        async def restart() -> None:
            await asyncio.sleep(delay_s)
            if not self.entries[name].process.alive:
                await self.start_entry(name)

        self.spawn(restart())

    def call_later(self, delay_s: float, callback) -> None:
        """Call a function after a delay."""

        async def run() -> None:
            await asyncio.sleep(delay_s)
            callback()

        self.spawn(run())

    def spawn(self, work) -> None:
        """Run a coroutine in the background until the site stops."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Kill all entries, and cancel background tasks."""
        for running in self.entries.values():
            running.process.kill()
            await running.entry.kill()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def held_program_names(self) -> list[str]:
        """Return the names of programs whose cache any engine holds."""
        return [name for engine in self.engines.values() for name in engine.held_program_names()]

    def _context(self, name: str, process: SimulatedProcess) -> Context:
        self._starts += 1
        rng = random.Random(f'{self.seed}/{name}/{self._starts}')
        cache_estimates = CacheEstimates()
        return Context(
            identity=Identity(name, name, process.place.zone, process.place.region, SLOTS),
            store=SimulatedStoreClient(self.network, process, self.kv_process, self.kv),
            peers=SimulatedPeerClient(self.network, process, self._directory),
            backends=self._backends(process),
            timers=LoopTimers(rng),
            rng=rng,
            router=ExpectedCostRouter(self.preset, cache_estimates, rng),
            cache_estimates=cache_estimates,
            fleet=self._fleet(),
            preset=self.preset,
            intervals=self.intervals,
            observer=_EntryStepObserver(self, name),
        )

    def _backends(self, process: SimulatedProcess) -> Backends:
        engines: dict[str, ModelEngine] = {
            name: SimulatedEngineClient(self.network, process, self.engine_processes[name], model)
            for name, model in self.engines.items()
        }
        tools = {
            tool: ToolSpec(tool, 'tools', tool not in EFFECT_TOOLS, 1, TOOL_DEADLINE_S)
            for tool in [*sorted(EFFECT_TOOLS), self.shape.lookup, self.shape.app_tool]
        }
        service = SimulatedToolClient(self.network, process, self.tool_process, self.tools)
        return Backends(engines, {'tools': service}, tools)

    def _fleet(self) -> Fleet:
        fleet = Fleet()
        for name, process in self.engine_processes.items():
            place = process.place
            fleet.add(ReplicaState(name, self.shape.model, place.zone, place.region, address=name))
        return fleet


class EntryObserver(StepObserver):
    """A step observer that is told which entry reached the step, in `entry_name`."""

    entry_name = ''


@define
class _EntryStepObserver(StepObserver):
    """Passes an entry's steps on to the site's observer."""

    site: VirtualSite
    name: str

    async def step_reached(self, step, program_id, seq) -> None:
        observer = self.site.observer
        if isinstance(observer, EntryObserver):
            observer.entry_name = self.name
        await observer.step_reached(step, program_id, seq)


class VirtualEntryClient(EntryClient):
    """Client that reaches entries over the simulated network, through a load balancer."""

    def __init__(self, site: VirtualSite) -> None:
        self._site = site
        self._request_count = 0

    async def open(self, program: TraceProgram, parent_id: str | None) -> Reply:
        """Open a program."""
        spec = ProgramSpec(
            program.model, program.budget or 1, program.name, program.deadline_s, parent_id
        )
        program_id = self.program_id(program)
        if parent_id is not None:
            program_id = child_id_for(parent_id, spec.key)
        return await self._request(
            ForwardReq(Operation.OPEN, program.team, program_id, body=to_json(spec))
        )

    def program_id(self, program: TraceProgram) -> str:
        """Return the id that the entries give to a root program."""
        return program_id_for(program.team, program.name, SLOTS)

    async def run_endless_program(self) -> None:
        """Run a program that repeats one call until it is refused."""
        program = TraceProgram('loop', 'loops', self._site.shape.model, 0.0, 60.0, [], 100_000)
        opened = await self.open(program, None)
        if opened.refused:
            return
        call = TraceCall(CallKind.MODEL, 0.0, [Message('user', 'again')], 8, 1)
        for seq in range(1, ENDLESS_PROGRAM_CALLS):
            reply = await self.call(program.team, opened.document['program_id'], seq, call)
            if reply.refused:
                return

    async def call(self, team: str, program_id: str, seq: int, call: TraceCall) -> Reply:
        """Make a call."""
        body = to_json(call.request(seq))
        return await self._request(ForwardReq(Operation.CALL, team, program_id, seq, body))

    async def fetch(self, team: str, program_id: str, seq: int) -> Reply:
        """Fetch the answer to an earlier call."""
        return await self._request(ForwardReq(Operation.FETCH, team, program_id, seq))

    async def end(self, team: str, program_id: str) -> Reply:
        """End a program."""
        return await self._request(ForwardReq(Operation.END, team, program_id))

    async def _request(self, req: ForwardReq) -> Reply:
        running = await self._pick_entry()
        if running is None:
            return Reply(599, {'ran': ExecutionStatus.NOT_RUN.value, 'reason': 'no entry reached'})
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await await_while_alive(running.process, self._answer(running, req))
        except (OutcomeUnknown, TimeoutError):
            return Reply(599, {'ran': ExecutionStatus.UNKNOWN.value, 'reason': 'connection lost'})

    async def _pick_entry(self) -> VirtualEntry | None:
        site = self._site
        names = sorted(site.entries)
        self._request_count += 1
        for offset in range(len(names)):
            running = site.entries[names[(self._request_count + offset) % len(names)]]
            if running.process.paused and self._request_count % PAUSED_ENTRY_REQUEST_PERIOD:
                continue  # most requests avoid it: health checks notice a pause late
            try:
                if running.entry.ready:
                    await site.network.send(site.caller_process, running.process)
                    return running
            except (NotSent, OutcomeUnknown):
                continue
        return None

    async def _answer(self, running: VirtualEntry, req: ForwardReq) -> Reply:
        site = self._site
        token = site.network.new_connection_token()
        try:
            async for frame in running.entry.gateway.request(req):
                await site.network.hang_if_broken(token, running.process, site.caller_process)
                if isinstance(frame, Result):
                    return Reply(200, orjson.loads(frame.body))
        except Refusal as refusal:
            await site.network.hang_if_broken(token, running.process, site.caller_process)
            document = problem_document(refusal)
            return Reply(int(document['status']), document)
        return Reply(599, {'ran': ExecutionStatus.UNKNOWN.value, 'reason': 'no result'})
