"""Directory of archives, kept in the key-value service and followed by every process.

An archive's record stays when its process is down: what its disk holds is still there.
It goes when the archive has handed everything over.
"""

import structlog
from attrs import define, field, frozen

from toucanlead_core.codec import from_json, to_json
from toucanlead_core.ids import rendezvous
from toucanlead_core.process_settings import ProcessSettings
from toucanlead_kv.follow import ChangeSink
from toucanlead_kv.kv import KvEntry, WatchEvent

log = structlog.get_logger()

ARCHIVE_PREFIX = 'toucanlead/archives/'


@frozen
class ArchiveRecord:
    """One archive: its VM, its disk, where it listens, whether it is being emptied."""

    name: str
    disk: str
    address: str
    zone: str
    region: str
    retiring: bool = False

    @property
    def key(self) -> str:
        """Return the record's key."""
        return ARCHIVE_PREFIX + self.name

    def value(self) -> bytes:
        """Return the record as it is stored."""
        return to_json(self)


@define
class ArchiveDirectory(ChangeSink):
    """The archives as last heard; `lost_disks` are those whose VM came back without them."""

    records: dict[str, ArchiveRecord] = field(factory=dict)
    revisions: dict[str, int] = field(factory=dict)
    version: int = 0

    def replace(self, entries: list[KvEntry]) -> None:
        """Take all records."""
        self.records.clear()
        self.revisions.clear()
        for entry in entries:
            self._put(entry.key, entry.value, entry.mod_rev)
        self.version += 1

    def apply(self, events: list[WatchEvent]) -> None:
        """Take changes."""
        for event in events:
            if event.value is None:
                self.records.pop(event.key, None)
                self.revisions.pop(event.key, None)
            else:
                self._put(event.key, event.value, event.mod_rev)
        self.version += bool(events)

    def all(self) -> list[ArchiveRecord]:
        """Return all archives."""
        return list(self.records.values())

    def disks(self) -> set[str]:
        """Return the disks that exist."""
        return {record.disk for record in self.records.values()}

    def by_disk(self, disk: str) -> ArchiveRecord | None:
        """Return the archive with a disk, None when there is none any more."""
        return next((r for r in self.records.values() if r.disk == disk), None)

    def nearest(self, key: str, zone: str, region: str) -> list[ArchiveRecord]:
        """Order archives for a key: own zone, own region, other regions.

        Within each the order follows from the key alone, so that a reader in the
        same zone asks first where a writer wrote first.
        """
        by_disk = {record.disk: record for record in self.records.values()}
        ordered = [by_disk[disk] for disk in rendezvous(key, list(by_disk))]

        def distance(record: ArchiveRecord) -> int:
            if record.zone == zone:
                return 0
            return 1 if record.region == region else 2

        return sorted(ordered, key=distance)

    def _put(self, key: str, value: bytes, revision: int) -> None:
        try:
            self.records[key] = from_json(value, ArchiveRecord)
        except ValueError as exc:
            log.warning('archive_record_unreadable', key=key, error=str(exc))
            return
        self.revisions[key] = revision


def spread_over_zones(archives: list[ArchiveRecord], count: int) -> list[ArchiveRecord]:
    """Return archives in order, the first `count` in different zones where there are enough."""
    zones: set[str] = set()
    first, rest = [], []
    for archive in archives:
        if len(first) < count and archive.zone not in zones:
            zones.add(archive.zone)
            first.append(archive)
        else:
            rest.append(archive)
    return first + rest


def relay_peers(settings: ProcessSettings, directory: ArchiveDirectory) -> list[str]:
    """Return the archives' addresses, those in the settings first, without this process."""
    known = [*settings.service.seeds, *(record.address for record in directory.all())]
    return [address for address in dict.fromkeys(known) if address != settings.listen.peers]
