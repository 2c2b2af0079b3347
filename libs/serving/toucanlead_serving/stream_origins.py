"""Stream origins: the software version that began each stream, so that it goes on there.

A stream may go on only at the version that began it. A caller whose stream broke off
resumes it at any entry, also after all entries were restarted at once, and names the
request that brought the first event. While one version alone may have begun the streams of
a service, that is its version. Otherwise the entry that forwards a first event has written
a note to the archives' disks before.
"""

import asyncio
from collections import OrderedDict
from enum import Enum

import structlog
from attrs import define, field, frozen

from toucanlead_core.codec import from_stored_json, to_json
from toucanlead_core.errors import Reason, Refusal, Step
from toucanlead_core.tasks import TaskSet
from toucanlead_core.timers import Timers
from toucanlead_policy.stream_versions import STREAM_LIFETIME_S
from toucanlead_replicas.registry import Registry, Replica

from .archive_client import ArchiveClient
from .metrics import ServingMetrics
from .version_lists import VersionLists

log = structlog.get_logger()

NOTE_KEEP_S = 2 * STREAM_LIFETIME_S
NOTE_WAIT_S = 0.06  # how long a first event waits; a write takes a disk sync and a round trip
FIND_TIMEOUT_S = 0.7  # two rounds of calls to archives
ENDED_S = 1.0  # the caller of a stream that ended here has its end by then
MAX_REMEMBERED = 4096  # streams
RETRY_AFTER_MS = 300  # an archive that restarts answers again within a second
# A control character, which no header and so no request id of a caller contains.
_NOTE_PREFIX = 'stream-origin\x1f'


@frozen
class StreamOrigin:
    """Where a stream began: the service, its software version and the replica's id."""

    service: str
    version: str
    replica: str


class OriginSource(str, Enum):
    """How the origin of a stream is known."""

    MEMORY = 'memory'
    ONLY_VERSION = 'only_version'
    ARCHIVE = 'archive'


@define
class _Begun:
    origin: StreamOrigin
    at: float
    ended_at: float | None = None
    noted: bool = False


@frozen
class _Search:
    """The result of a search for an origin.

    `complete` says that a repeated search finds nothing more. `age_s` is how long ago the
    stream began, as far as that is known.
    """

    origin: StreamOrigin | None = None
    source: OriginSource | None = None
    age_s: float = 0.0
    complete: bool = True


@define(eq=False)
class StreamOrigins:
    """The origins of the streams that began at this entry, and the search for all others."""

    _lists: VersionLists
    _archive_client: ArchiveClient
    _registry: Registry
    _timers: Timers
    _metrics: ServingMetrics
    _begun: OrderedDict[str, _Begun] = field(factory=OrderedDict)
    _tasks: TaskSet = field(factory=TaskSet)

    def __attrs_post_init__(self) -> None:
        """Subscribe to services whose streams may have several versions from now on."""
        self._lists.on_ambiguous = self._note_running

    async def record(self, request: str, replica: Replica) -> StreamOrigin:
        """Record the origin of a stream before its first event is forwarded.

        While several versions are possible, this waits for a durable note, but not for long:
        without one the version is unknown later, and the stream cannot be resumed.
        """
        record = replica.record
        origin = StreamOrigin(record.service, record.version, record.ident)
        self._forget_old()
        begun = self._begun[request] = _Begun(origin, self._timers.now())
        if self._lists.only_version(record.service) != record.version:
            noting = self._tasks.spawn(self._note(request, begun), 'stream origin')
            await asyncio.wait([noting], timeout=NOTE_WAIT_S)
        return origin

    def record_end(self, request: str) -> None:
        """Record that the whole stream of a request was forwarded."""
        begun = self._begun.get(request)
        if begun is not None:
            begun.ended_at = self._timers.now()

    async def find(self, request: str, first: str | None, service: str) -> StreamOrigin:
        """Return the origin of a stream that a request resumes; raise Refusal if it is unknown.

        `first` is the request that brought the first event, if the caller names it, and
        `service` the one that the route leads to.
        """
        search = await self._search(first, service)
        origin = search.origin
        log.info(
            'stream_origin',
            request=request,
            resumes=first or '',
            service=origin.service if origin else service,
            version=origin.version if origin else '',
            began_at=origin.replica if origin else '',
            source=search.source.value if search.source else 'unknown',
            age_s=round(search.age_s, 3),
            listed=','.join(sorted(self._lists.listed(service))),
        )
        if origin is not None and not self.is_doubtful(origin):
            self._metrics.resumed(search.source.value)
            return origin
        raise Refusal(
            Reason.STREAM_VERSION_UNKNOWN,
            f'{first or "no request named"}: the version that began the stream is not known',
            step=Step.ROUTE,
            retry_after_ms=None if search.complete else RETRY_AFTER_MS,
        )

    def is_doubtful(self, origin: StreamOrigin) -> bool:
        """Return whether the replica runs another version now.

        It was restarted under its id, and the stream may have begun before or after that.
        """
        replica = self._registry.replicas.get(origin.replica)
        return replica is not None and (
            replica.record.version != origin.version or replica.record.service != origin.service
        )

    async def close(self) -> None:
        """Cancel the writes in progress."""
        await self._tasks.cancel()

    async def _search(self, first: str | None, service: str) -> _Search:
        begun = self._begun.get(first or '')
        if begun is not None:
            return _Search(begun.origin, OriginSource.MEMORY, self._timers.now() - begun.at)
        version = self._lists.only_version(service)
        confirmed = version is not None and await self._lists.confirm_only(service, version)
        if confirmed:
            return _Search(StreamOrigin(service, version, ''), OriginSource.ONLY_VERSION)
        if not first:
            return _Search()
        try:
            async with asyncio.timeout(FIND_TIMEOUT_S):
                note = await self._archive_client.find_note(_NOTE_PREFIX + first, first)
        except TimeoutError:
            return _Search(complete=False)
        if note.text is None:
            return _Search(complete=note.complete and version is None)
        try:
            origin = from_stored_json(note.text.encode(), StreamOrigin)
        except ValueError as exc:
            log.warning('stream_origin_unreadable', request=first, error=str(exc))
            return _Search()
        return _Search(origin, OriginSource.ARCHIVE, NOTE_KEEP_S - note.keep_s)

    async def _note(self, request: str, begun: _Begun) -> None:
        started_at = self._timers.now()
        text = to_json(begun.origin).decode()
        begun.noted = await self._archive_client.write_note(
            _NOTE_PREFIX + request, request, text, NOTE_KEEP_S
        )
        log.info(
            'stream_origin_noted' if begun.noted else 'stream_origin_not_noted',
            request=request,
            version=begun.origin.version,
            replica=begun.origin.replica,
            ms=round(1e3 * (self._timers.now() - started_at), 1),
        )

    def _note_running(self, service: str) -> None:
        """Write notes for the streams that began while one version was alone."""
        ended_before = self._timers.now() - ENDED_S
        for request, begun in self._begun.items():
            running = begun.ended_at is None or begun.ended_at > ended_before
            if begun.origin.service == service and running and not begun.noted:
                self._tasks.spawn(self._note(request, begun), 'stream origin')

    def _forget_old(self) -> None:
        oldest_at = self._timers.now() - STREAM_LIFETIME_S
        while self._begun:
            begun = next(iter(self._begun.values()))
            if begun.at >= oldest_at and len(self._begun) < MAX_REMEMBERED:
                return
            self._begun.popitem(last=False)
