"""Version lists: the software versions of each service's replicas, shared by all entries.

The list of a service is one key of the key-value service. It changes when a version
appears or has been gone for as long as a stream may last, not with each stream. The first
entry of an order that all entries share writes it; the others follow if it does not.
"""

import asyncio
from collections.abc import Callable

import structlog
from attrs import define, field, frozen

from toucanlead_archive.directory import PEER_PREFIX, EntryRecord
from toucanlead_core.codec import from_stored_json, to_json
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.ids import rendezvous
from toucanlead_core.timers import Timers
from toucanlead_kv.kv import Compare, KeyValueStore, KvEntry, Put, WatchEvent
from toucanlead_kv.watch import ChangeSink
from toucanlead_policy.stream_versions import FRESH_S, UNKNOWN_VERSION, ServiceVersions
from toucanlead_replicas.registry import Registry

log = structlog.get_logger()

LIST_PREFIX = PEER_PREFIX + 'versions/'
UPKEEP_PERIOD_S = 0.1  # a new replica gets few new streams until its version is listed
CONFIRM_TIMEOUT_S = 0.25  # a round trip between regions and one retransmission
NEXT_WRITER_AFTER_S = 1.0  # each entry of the order waits longer than the one before


@frozen
class VersionList:
    """The versions of a service that may have begun a stream that has not ended."""

    service: str
    versions: tuple[str, ...]


@define
class _Service:
    versions: ServiceVersions = field(factory=ServiceVersions)
    revision: int = 0
    differs_since: float | None = None


@define(eq=False)
class VersionLists(ChangeSink):
    """The version lists that this entry follows and keeps up to date.

    `entries` returns the records of all entries, and `heard_at` the time at which this
    process last missed no change. `first_start` says that no stream began before.
    `on_ambiguous` is called with a service once several versions may have begun its streams.
    """

    _address: str
    _store: KeyValueStore
    _registry: Registry
    _timers: Timers
    _entries: Callable[[], list[EntryRecord]]
    _heard_at: Callable[[], float | None]
    _first_start: bool
    on_ambiguous: Callable[[str], None] | None = None
    _services: dict[str, _Service] = field(factory=dict)
    _unambiguous: set[str] = field(factory=set)
    _observed_changes: int = -1

    def only_version(self, service: str) -> str | None:
        """Return the version that began every stream of a service, None if that is unclear."""
        return self._current(service).versions.only_version

    async def confirm_only(self, service: str, version: str) -> bool:
        """Return whether the durable list names one version alone at this moment.

        What this entry follows may be older than a stream that another entry began, for as
        long as it does not notice that it is cut off or has stood still.
        """
        key = LIST_PREFIX + service
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                entry = await self._store.get(key)
        except (NotSent, OutcomeUnknown, TimeoutError) as exc:
            log.info('versions_unconfirmed', service=service, error=repr(exc))
            return False
        if entry is not None:
            self._learn(key, entry.value, entry.mod_rev)
        listed = entry is not None and self.listed(service) == {version}
        return listed and self.only_version(service) == version

    def to_prefer(self, service: str) -> frozenset[str] | None:
        """Return the versions at which new streams should begin, None for all."""
        return self._current(service).versions.to_prefer()

    def listed(self, service: str) -> frozenset[str]:
        """Return the versions on a service's list."""
        return self._service(service).versions.listed

    def replace(self, entries: list[KvEntry]) -> None:
        """Replace all lists."""
        lists = [entry for entry in entries if entry.key.startswith(LIST_PREFIX)]
        for name in set(self._services) - {e.key.removeprefix(LIST_PREFIX) for e in lists}:
            self._set(name, frozenset(), 0)
        for entry in lists:
            self._learn(entry.key, entry.value, entry.mod_rev)

    def apply(self, events: list[WatchEvent]) -> None:
        """Apply changed and deleted lists."""
        for event in events:
            if not event.key.startswith(LIST_PREFIX):
                continue
            if event.value is None:
                self._set(event.key.removeprefix(LIST_PREFIX), frozenset(), 0)
            else:
                self._learn(event.key, event.value, event.mod_rev)

    async def update(self) -> None:
        """Write the lists that differ from the replicas; to be called every UPKEEP_PERIOD_S."""
        now = self._timers.now()
        self._observe()
        for name, service in list(self._services.items()):
            self._note_ambiguity(name, service)
            wanted = self._wanted(service, now)
            if not service.versions.fresh or wanted == service.versions.listed:
                service.differs_since = None
                continue
            if service.differs_since is None:
                service.differs_since = now
            if now - service.differs_since >= self._rank(name) * NEXT_WRITER_AFTER_S:
                await self._write(name, service, wanted)

    def _wanted(self, service: _Service, now: float) -> frozenset[str]:
        versions = service.versions
        wanted = (versions.listed | versions.present) - versions.outlived(now)
        if wanted and not versions.listed and not self._first_start:
            wanted |= {UNKNOWN_VERSION}
        return wanted

    def _note_ambiguity(self, name: str, service: _Service) -> None:
        if service.versions.only_version is not None:
            self._unambiguous.add(name)
        elif name in self._unambiguous:
            self._unambiguous.discard(name)
            if self.on_ambiguous is not None:
                self.on_ambiguous(name)

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service()
        return service

    def _current(self, name: str) -> _Service:
        """Return a service with what is known now."""
        service = self._service(name)
        if self._observed_changes != self._registry.changes or (
            service.versions.fresh and not self._is_fresh()
        ):
            self._observe()
        return service

    def _observe(self) -> None:
        """Update what is known of all services from the replicas."""
        now, fresh = self._timers.now(), self._is_fresh()
        present = self._registry.versions()
        for name in present.keys() | self._services.keys():
            self._service(name).versions.observe(present.get(name, frozenset()), fresh, now)
        self._observed_changes = self._registry.changes

    def _is_fresh(self) -> bool:
        heard_at = self._heard_at()
        return heard_at is not None and self._timers.now() - heard_at <= FRESH_S

    def _rank(self, name: str) -> int:
        addresses = [entry.address for entry in self._entries()]
        order = rendezvous(LIST_PREFIX + name, addresses)
        return order.index(self._address) if self._address in order else len(order)

    async def _write(self, name: str, service: _Service, wanted: frozenset[str]) -> None:
        key = LIST_PREFIX + name
        value = to_json(VersionList(name, tuple(sorted(wanted))))
        try:
            result = await self._store.txn([Compare(key, service.revision)], [Put(key, value)])
        except (NotSent, OutcomeUnknown) as exc:
            log.info('version_list_unwritten', service=name, error=str(exc))
            return
        if result.succeeded:
            self._learn(key, value, result.revision)
        else:
            self.apply([WatchEvent(e.key, e.value, e.mod_rev) for e in result.current])

    def _learn(self, key: str, value: bytes, revision: int) -> None:
        name = key.removeprefix(LIST_PREFIX)
        if revision <= self._service(name).revision:
            return
        try:
            versions = frozenset(from_stored_json(value, VersionList).versions)
        except ValueError as exc:
            log.warning('version_list_unreadable', service=name, error=str(exc))
            versions = frozenset({UNKNOWN_VERSION})
        self._set(name, versions, revision)

    def _set(self, name: str, versions: frozenset[str], revision: int) -> None:
        service = self._service(name)
        if versions != service.versions.listed:
            log.info(
                'versions_listed',
                service=name,
                versions=','.join(sorted(versions)),
                before=','.join(sorted(service.versions.listed)),
                revision=revision,
            )
        service.versions.listed = versions
        service.revision = revision
