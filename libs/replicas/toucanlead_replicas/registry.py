"""Registry of replicas: which exist, and which may receive new requests."""

from collections import defaultdict
from collections.abc import Set

import structlog
from attrs import define, field, frozen

from toucanlead_core.recent_ids import RecentIds

log = structlog.get_logger()

MAX_LEAVING_RUNS = 10_000  # runs of replicas known to leave, also after their removal
REMOVAL_GRACE_S = 2.0  # registrations that expire in a key-value outage return within this


@frozen
class ReplicaRecord:
    """A replica's registration; `started_ms` is its start time, which changes with each run.

    The replica counts as just started for `cold_remaining_s` after it is first seen.
    """

    ident: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    cold_remaining_s: float = 0.0
    started_ms: int = 0
    version: str = ''


@define
class Replica:
    """One run of a replica, as known to this process; times are loop times in seconds.

    `leaving_since` follows from its registration. `says_leaving` follows from its own
    answers, and holds until the run has ended, whatever is registered.
    """

    record: ReplicaRecord
    region: str
    first_seen_at: float
    leaving_since: float | None = None
    removed_at: float | None = None
    replaced: bool = False
    says_leaving: bool = False

    @property
    def ident(self) -> str:
        """Return the replica's id."""
        return self.record.ident

    @property
    def run(self) -> str:
        """Return a name of this run; a replica may start again under the id that it had."""
        return f'{self.record.ident}@{self.record.started_ms}'

    @property
    def zone(self) -> str:
        """Return the replica's zone."""
        return self.record.zone

    @property
    def leaving(self) -> bool:
        """Return whether the replica is draining or another one now uses its address."""
        return self.leaving_since is not None or self.replaced or self.says_leaving


@define
class Registry:
    """All known replicas by id, updated from the key-value service.

    `regions` maps each zone to its region; `changes` counts what has changed.
    """

    regions: dict[str, str]
    replicas: dict[str, Replica] = field(factory=dict)
    changed_at: float = 0.0
    changes: int = 0
    _versions: dict[str, set[str]] = field(factory=dict)
    _versions_changes: int = -1
    _leaving_runs: RecentIds = field(factory=lambda: RecentIds(MAX_LEAVING_RUNS))

    def put(self, record: ReplicaRecord, now: float) -> None:
        """Add or update a replica."""
        known = self.replicas.get(record.ident)
        self._record_change(now)
        if known is None or not _same_run(known.record, record):
            region = self.regions.get(record.zone, record.zone)
            known = Replica(record, region, now)
            known.says_leaving = bool(record.started_ms) and known.run in self._leaving_runs
            self.replicas[record.ident] = known
        known.record = record
        known.removed_at = None
        if not record.leaving:
            known.leaving_since = None
        elif known.leaving_since is None:
            known.leaving_since = now

    def note_leaving(self, replica: Replica) -> None:
        """Note that a replica said in an answer that it leaves; it gets nothing new.

        That is remembered if the registration of the same run goes and comes again. A run
        that does not say when it started cannot be told from its successor.
        """
        if not replica.says_leaving:
            replica.says_leaving = True
            self._leaving_runs.add(replica.run)
            self.changes += 1
            log.info('replica_says_leaving', replica=replica.ident, run=replica.run)

    def remove(self, ident: str, now: float) -> None:
        """Mark a replica as removed; it is dropped after a grace period."""
        known = self.replicas.get(ident)
        if known is not None and known.removed_at is None:
            known.removed_at = now
            self._record_change(now)

    def replace(self, records: list[ReplicaRecord], now: float) -> None:
        """Apply a full snapshot; replicas missing from it are marked as removed."""
        present = {record.ident for record in records}
        for ident in list(self.replicas):
            if ident not in present:
                self.remove(ident, now)
        for record in records:
            self.put(record, now)

    def usable(self, service: str, now: float, versions: Set[str] | None = None) -> list[Replica]:
        """Return the replicas of a service that may receive new requests.

        `versions`, if given, restricts them to these software versions. Replicas removed a
        moment ago are returned only when no other is left, because registrations also expire
        while the key-value service is unavailable.
        """
        self._drop_removed(now)
        of_service = [
            replica
            for replica in self.replicas.values()
            if replica.record.service == service
            and (versions is None or replica.record.version in versions)
        ]
        ready = [r for r in of_service if r.removed_at is None and not r.leaving]
        if ready:
            return ready
        return [r for r in of_service if r.removed_at is not None and not r.leaving]

    def services(self) -> set[str]:
        """Return the services that have replicas."""
        return {replica.record.service for replica in self.replicas.values()}

    def versions(self) -> dict[str, set[str]]:
        """Return the software versions of the registered replicas of each service."""
        if self._versions_changes != self.changes:
            self._versions = defaultdict(set)
            for replica in self.replicas.values():
                if replica.removed_at is None:
                    self._versions[replica.record.service].add(replica.record.version)
            self._versions_changes = self.changes
        return self._versions

    def _record_change(self, now: float) -> None:
        self.changed_at = now
        self.changes += 1

    def _drop_removed(self, now: float) -> None:
        expired = [
            ident
            for ident, replica in self.replicas.items()
            if replica.removed_at is not None and now - replica.removed_at > REMOVAL_GRACE_S
        ]
        for ident in expired:
            del self.replicas[ident]
            self.changes += 1


def _same_run(old: ReplicaRecord, new: ReplicaRecord) -> bool:
    return (
        old.started_ms == new.started_ms
        and old.address == new.address
        and old.service == new.service
    )
