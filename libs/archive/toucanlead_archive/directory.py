"""Directory of entries and archives, stored in the key-value service and watched by them.

Records have no lease: the turns on an archive's disk survive when its process is down,
and a restarted entry usually keeps its address. An archive's record is deleted once all
its turns have been copied to other disks.
"""

import structlog
from attrs import define, field, frozen

from toucanlead_core.codec import from_stored_json, to_json
from toucanlead_core.errors import NotSent, OutcomeUnknown
from toucanlead_core.ids import rendezvous
from toucanlead_core.process_settings import ProcessSettings
from toucanlead_kv.kv import Compare, Delete, KeyValueStore, KvEntry, Put, WatchEvent
from toucanlead_kv.watch import ChangeSink

log = structlog.get_logger()

PEER_PREFIX = 'toucanlead/peers/'
ARCHIVE_PREFIX = PEER_PREFIX + 'archives/'
_ENTRY_PREFIX = PEER_PREFIX + 'entries/'


@frozen
class ArchiveRecord:
    """An archive: its VM's name, disk id, address, location, and whether it is being retired.

    `away` is set while it stops as planned, or when others have given up waiting for it. It
    stays set until the archive registers again.
    """

    name: str
    disk: str
    address: str
    zone: str
    region: str
    retiring: bool = False
    away: bool = False

    @property
    def key(self) -> str:
        """Return the record's key."""
        return ARCHIVE_PREFIX + self.name

    @property
    def staying(self) -> bool:
        """Return whether the archive takes turns and is expected to keep them."""
        return not self.retiring and not self.away


@frozen
class EntryRecord:
    """An entry: its VM's name, its address for other processes, and its location."""

    name: str
    address: str
    zone: str
    region: str

    @property
    def key(self) -> str:
        """Return the record's key."""
        return _ENTRY_PREFIX + self.name


@define
class PeerDirectory(ChangeSink):
    """The last known records of archives and entries, by key.

    `revisions` has the modification revision of each key; `version` counts updates.
    """

    archives: dict[str, ArchiveRecord] = field(factory=dict)
    entries: dict[str, EntryRecord] = field(factory=dict)
    revisions: dict[str, int] = field(factory=dict)
    version: int = 0

    def replace(self, entries: list[KvEntry]) -> None:
        """Replace all records."""
        self.archives.clear()
        self.entries.clear()
        self.revisions.clear()
        for entry in entries:
            self._put(entry.key, entry.value, entry.mod_rev)
        self.version += 1

    def apply(self, events: list[WatchEvent]) -> None:
        """Apply changed and deleted records."""
        for event in events:
            if event.value is None:
                self.archives.pop(event.key, None)
                self.entries.pop(event.key, None)
                self.revisions.pop(event.key, None)
            else:
                self._put(event.key, event.value, event.mod_rev)
        self.version += bool(events)

    def learn(self, entries: list[KvEntry]) -> None:
        """Apply entries that were read apart from the watch, as far as they are newer."""
        newer = [e for e in entries if e.mod_rev > self.revisions.get(e.key, 0)]
        self.apply([WatchEvent(entry.key, entry.value, entry.mod_rev) for entry in newer])

    def record(self, key: str) -> ArchiveRecord | EntryRecord | None:
        """Return the record at a key, or None."""
        return self.archives.get(key) or self.entries.get(key)

    def disks(self) -> set[str]:
        """Return the disk ids of all archives."""
        return {record.disk for record in self.archives.values()}

    def by_disk(self, disk: str) -> ArchiveRecord | None:
        """Return the archive with a disk id, or None if there is none."""
        return next((r for r in self.archives.values() if r.disk == disk), None)

    def nearest(self, key: str, zone: str, region: str) -> list[ArchiveRecord]:
        """Return all archives: first those in `zone`, then those in `region`, then the others.

        Within each group the order depends only on the key, so that readers first
        ask the archive that writers used first.
        """
        by_disk = {record.disk: record for record in self.archives.values()}
        ordered = [by_disk[disk] for disk in rendezvous(key, list(by_disk))]

        def distance(record: ArchiveRecord) -> int:
            if record.zone == zone:
                return 0
            return 1 if record.region == region else 2

        return sorted(ordered, key=distance)

    def publishers(self, settings: ProcessSettings) -> list[str]:
        """Return the addresses of archives that may pass changes on to a process, best first.

        All processes of a zone get the same order, so that few archives have to watch the
        key-value service. The seeds are returned until an archive is known.
        """
        process, own = settings.process, settings.listen.peers
        ordered = self.nearest(process.zone, process.zone, process.region)
        staying = [record.address for record in ordered if record.staying]
        if staying:
            return staying
        seeds = settings.service.seeds
        return [own] if own in seeds else rendezvous(process.name, seeds)

    def other_publishers(self, settings: ProcessSettings) -> list[str]:
        """Return the addresses of the archives that other zones follow, this region's first.

        The zones come in a circle that starts with the one of this process, so that each
        publisher is asked by few others.
        """
        process = settings.process
        regions = {record.zone: record.region for record in self.archives.values()}
        zones = sorted(regions)
        after = [zone for zone in zones if zone > process.zone]
        circle = [*after, *(zone for zone in zones if zone < process.zone)]
        circle.sort(key=lambda zone: regions[zone] != process.region)
        best = [self.nearest(zone, zone, regions[zone]) for zone in circle]
        staying = [[record for record in records if record.staying] for records in best]
        return list(dict.fromkeys(records[0].address for records in staying if records))

    def relay_addresses(self, settings: ProcessSettings) -> list[str]:
        """Return the addresses of peers that can relay calls to the key-value service.

        The seeds from the settings come first, then the other peers, nearest first.
        """
        process = settings.process
        peers = [*self.entries.values(), *self.archives.values()]
        by_distance = sorted(
            peers, key=lambda p: (p.region != process.region, p.zone != process.zone)
        )
        addresses = [*settings.service.seeds, *(peer.address for peer in by_distance)]
        return [address for address in dict.fromkeys(addresses) if address != settings.listen.peers]

    def _put(self, key: str, value: bytes, revision: int) -> None:
        try:
            if key.startswith(ARCHIVE_PREFIX):
                self.archives[key] = from_stored_json(value, ArchiveRecord)
            elif key.startswith(_ENTRY_PREFIX):
                self.entries[key] = from_stored_json(value, EntryRecord)
        except ValueError as exc:
            log.warning('peer_record_unreadable', key=key, error=str(exc))
            return
        self.revisions[key] = revision


async def register(
    store: KeyValueStore, directory: PeerDirectory, record: ArchiveRecord | EntryRecord
) -> bool:
    """Write a record if the directory does not have it yet; return whether it is stored.

    If the response is lost, the next attempt finds the record in the directory.
    """
    if directory.record(record.key) == record:
        return True
    value = to_json(record)
    compare = Compare(record.key, directory.revisions.get(record.key, 0))
    try:
        result = await store.txn([compare], [Put(record.key, value)])
    except (NotSent, OutcomeUnknown) as exc:
        log.info('register_failed', key=record.key, error=str(exc))
        return False
    if result.succeeded:
        directory.apply([WatchEvent(record.key, value, result.revision)])
        log.info('registered', key=record.key, revision=result.revision)
    else:
        directory.learn(result.current)
    return result.succeeded


async def unregister(store: KeyValueStore, directory: PeerDirectory, record: ArchiveRecord) -> None:
    """Delete a record, unless it has changed since the directory learned of it."""
    compare = Compare(record.key, directory.revisions.get(record.key, 0))
    try:
        result = await store.txn([compare], [Delete(record.key)])
    except (NotSent, OutcomeUnknown) as exc:
        log.info('unregister_failed', key=record.key, error=str(exc))
        return
    if result.succeeded:
        directory.apply([WatchEvent(record.key, None, result.revision)])
        log.info('unregistered', key=record.key, disk=record.disk, revision=result.revision)
    else:
        directory.learn(result.current)


def spread_over_zones(archives: list[ArchiveRecord], count: int) -> list[ArchiveRecord]:
    """Move up to `count` archives of different zones to the front; keep the order otherwise."""
    zones: set[str] = set()
    first, rest = [], []
    for archive in archives:
        if len(first) < count and archive.zone not in zones:
            zones.add(archive.zone)
            first.append(archive)
        else:
            rest.append(archive)
    return first + rest
