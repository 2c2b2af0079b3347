"""Configuration in force at an entry, read from the key-value service and from peers."""

from collections.abc import Callable
from pathlib import Path

import structlog

from toucanlead_core.codec import from_json, to_json
from toucanlead_core.errors import (
    ExecutionStatus,
    NotSent,
    OutcomeUnknown,
    PeerError,
    Reason,
    Refusal,
    Step,
)
from toucanlead_kv.kv import Put
from toucanlead_peer.messages import ForwardReq, Operation, ProbeReply, ProbeReq, Result
from toucanlead_policy.preset import Preset

from .backend_watch import LeavingBackends
from .config_records import (
    DRAINS_SECTION,
    HEAD_KEY,
    ConfigBundle,
    ConfigHead,
    Difference,
    TeamEntry,
    content_digest,
    history_key,
    preset_section,
    section_key,
    section_type,
)
from .context import Context

log = structlog.get_logger()

PROBES_PER_ROUND = 2
CHANGE_TIMEOUT_S = 5.0
MAX_HEAD_BYTES = 900_000  # the key-value service holds values up to a megabyte


class ConfigManager:
    """Holds the configuration in force at this entry; its revision never decreases."""

    def __init__(
        self,
        ctx: Context,
        leaving_backends: LeavingBackends,
        peer_addresses: Callable[[], list[str]],
        folder: Path | None = None,
    ) -> None:
        """Start from the snapshot in `folder`, or from the preset of `ctx`.

        `peer_addresses` returns the addresses to probe. Without a folder no snapshot is kept.
        """
        self.head = ConfigHead(preset=ctx.preset.name)
        self.in_force_since = ctx.timers.now()
        self.last_read_at = -1e9
        self._leaving_backends = leaving_backends
        self._contents: dict[str, str] = {}
        self._ctx = ctx
        self._own_address = ctx.identity.peer_address
        self._peer_addresses = peer_addresses
        self._default_preset = ctx.preset
        self._snapshot_path = folder / 'config.json' if folder else None
        self._load_snapshot()

    async def poll(self) -> None:
        """Read the head; if it is newer, read its new sections and put it in force."""
        kv_entry = await self._ctx.store.get(HEAD_KEY)
        self.last_read_at = self._ctx.timers.now()
        if kv_entry is None:
            return
        head = from_json(kv_entry.value, ConfigHead)
        if head.revision > self.head.revision:
            await self._fetch_sections(head)

    async def probe_peers(self) -> None:
        """Exchange revisions and leaving servers with random peers; pull newer revisions."""
        addresses = self._peer_addresses()
        count = min(PROBES_PER_ROUND, len(addresses))
        for address in self._ctx.rng.sample(addresses, count):
            req = ProbeReq(
                self._own_address, self.head.revision, leaving=self._leaving_backends.observed()
            )
            try:
                reply = await self._ctx.peers.probe(address, req)
                self._leaving_backends.add_reported(reply.leaving)
                if reply.revision > self.head.revision:
                    await self._pull(address)
            except (PeerError, Refusal) as exc:
                log.debug('probe_failed', peer=address, error=str(exc))

    async def answer_probe(self, req: ProbeReq) -> ProbeReply:
        """Answer a peer's probe; pull its configuration if that is newer."""
        self._leaving_backends.add_reported(req.leaving)
        if req.revision > self.head.revision:
            self._ctx.tasks.spawn(self._try_pull(req.sender), 'config pull')
        return ProbeReply(
            self._own_address, self.head.revision, leaving=self._leaving_backends.observed()
        )

    def bundle(self) -> ConfigBundle:
        """Return the head and all section contents, for a peer or a snapshot."""
        return ConfigBundle(self.head, dict(self._contents))

    def apply(self, bundle: ConfigBundle) -> bool:
        """Put a newer revision in force; return False for one that is not newer.

        Raises Refusal when a section's content does not match its digest.
        """
        head = bundle.head
        if head.revision <= self.head.revision:
            return False
        for digest in head.sections.values():
            if content_digest(bundle.contents[digest].encode()) != digest:
                raise Refusal(
                    Reason.BAD_REQUEST, f'section {digest}: content does not match the digest'
                )
        preset = self._preset_in(bundle)
        self.head = head
        self._contents = {d: bundle.contents[d] for d in head.sections.values()}
        self.in_force_since = self._ctx.timers.now()
        self._ctx.preset = preset
        self._ctx.router.use_preset(preset)
        self._leaving_backends.set_drained(set(self.drains()))
        self._save_snapshot()
        log.info('config_in_force', revision=head.revision, preset=head.preset)
        return True

    def presets(self) -> dict[str, Preset]:
        """Return all presets by name, the default included."""
        presets = {self._default_preset.name: self._default_preset}
        for name, digest in self.head.sections.items():
            if name.startswith('preset/'):
                presets[name.removeprefix('preset/')] = from_json(
                    self._contents[digest].encode(), Preset
                )
        return presets

    def team_of_digest(self, digest: str) -> str | None:
        """Return the team whose key has this digest."""
        for team in self.teams():
            if digest in team.key_digests:
                return team.name
        return None

    def teams(self) -> list[TeamEntry]:
        """Return the teams in the configuration."""
        return [
            team
            for name, digest in sorted(self.head.sections.items())
            if name.startswith('teams/')
            for team in from_json(self._contents[digest].encode(), list[TeamEntry])
        ]

    def drains(self) -> list[str]:
        """Return the addresses that operators have drained."""
        text = self.section(DRAINS_SECTION)
        return from_json(text.encode(), list[str]) if text else []

    def section(self, name: str) -> str | None:
        """Return a section's content, None if there is no such section."""
        digest = self.head.sections.get(name)
        return self._contents.get(digest) if digest else None

    async def change(
        self,
        base: int | None,
        sections: dict[str, bytes],
        preset: str | None,
        author: str,
        summary: str,
    ) -> ConfigHead:
        """Accept a change by one compare-and-swap of the head.

        `base` is the revision that the operator saw, or None. If another revision
        is in force, raises Refusal with the difference between the two.
        """
        kv_entry = await self._ctx.store.get(HEAD_KEY)
        current = (
            from_json(kv_entry.value, ConfigHead)
            if kv_entry
            else ConfigHead(preset=self._default_preset.name)
        )
        if base is not None and base != current.revision:
            raise await self._conflict(base, current)
        digests = {name: content_digest(content) for name, content in sections.items()}
        head = ConfigHead(
            revision=current.revision + 1,
            nonce=self._ctx.nonce(),
            preset=preset or current.preset,
            author=author,
            summary=summary,
            sections={**current.sections, **digests},
        )
        self._validate(head, sections)
        extra = [Put(section_key(digests[n]), content) for n, content in sections.items()]
        extra.append(Put(history_key(head.revision), to_json(head)))
        await self._compare_and_swap_head(head, kv_entry.mod_rev if kv_entry else 0, extra, current)
        await self._fetch_sections(head)
        return head

    async def history(self) -> list[ConfigHead]:
        """Return all revisions, oldest first."""
        kv_entries = await self._ctx.store.scan('config/history/')
        return [from_json(kv_entry.value, ConfigHead) for kv_entry in kv_entries]

    async def difference(self, before: ConfigHead, after: ConfigHead) -> list[Difference]:
        """Return the sections that differ between two revisions, and the preset if it does."""
        differences = []
        if before.preset != after.preset:
            differences.append(Difference('preset in force', before.preset, after.preset))
        for name in sorted({*before.sections, *after.sections}):
            old, new = before.sections.get(name), after.sections.get(name)
            if old != new:
                differences.append(
                    Difference(name, await self._read_section(old), await self._read_section(new))
                )
        return differences

    async def _compare_and_swap_head(
        self, head: ConfigHead, mod_rev: int, extra: list[Put], current: ConfigHead
    ) -> None:
        value = to_json(head)
        if len(value) > MAX_HEAD_BYTES:
            raise Refusal(Reason.TOO_LARGE, f'the configuration head would have {len(value)} bytes')
        deadline = self._ctx.timers.now() + CHANGE_TIMEOUT_S
        try:
            swapped = await self._ctx.writer.write(
                Put(HEAD_KEY, value), mod_rev, deadline=deadline, extra=extra
            )
        except OutcomeUnknown as exc:
            raise _platform_down(exc, ExecutionStatus.UNKNOWN) from exc
        except NotSent as exc:
            raise _platform_down(exc, ExecutionStatus.NOT_RUN) from exc
        if not swapped:
            kv_entry = await self._ctx.store.get(HEAD_KEY)
            raise await self._conflict(current.revision, from_json(kv_entry.value, ConfigHead))

    def _validate(self, head: ConfigHead, sections: dict[str, bytes]) -> None:
        """Raise Refusal for a change that could not be put in force."""
        for name, content in sections.items():
            try:
                from_json(content, section_type(name))
            except ValueError as exc:
                raise Refusal(Reason.BAD_REQUEST, f'{name}: {exc}') from None
        known = preset_section(head.preset) in head.sections
        if not known and head.preset != self._default_preset.name:
            raise Refusal(Reason.BAD_REQUEST, f'no preset named {head.preset!r}')

    async def _conflict(self, base: int, current: ConfigHead) -> Refusal:
        kv_entry = await self._ctx.store.get(history_key(base))
        before = from_json(kv_entry.value, ConfigHead) if kv_entry else ConfigHead()
        changes = await self.difference(before, current)
        text = to_json(changes).decode()
        return Refusal(
            Reason.CONFLICT,
            f'revision {current.revision} is in force, not {base}; since then: {text}',
            step=Step.ACCEPT,
        )

    async def _fetch_sections(self, head: ConfigHead) -> None:
        contents = {}
        for digest in head.sections.values():
            contents[digest] = await self._read_section(digest)
        self.apply(ConfigBundle(head, contents))

    async def _read_section(self, digest: str | None) -> str | None:
        if digest is None:
            return None
        if digest in self._contents:
            return self._contents[digest]
        kv_entry = await self._ctx.store.get(section_key(digest))
        return kv_entry.value.decode() if kv_entry else None

    async def _try_pull(self, address: str) -> None:
        try:
            await self._pull(address)
        except (PeerError, Refusal) as exc:
            log.debug('config_pull_failed', peer=address, error=str(exc))

    async def _pull(self, address: str) -> None:
        async for frame in self._ctx.peers.forward(address, ForwardReq(Operation.CONFIG, '', '')):
            if isinstance(frame, Result):
                self.apply(from_json(frame.body, ConfigBundle))

    def _preset_in(self, bundle: ConfigBundle) -> Preset:
        digest = bundle.head.sections.get(preset_section(bundle.head.preset))
        if digest is None:
            return self._default_preset
        return from_json(bundle.contents[digest].encode(), Preset)

    def _load_snapshot(self) -> None:
        if self._snapshot_path is None or not self._snapshot_path.exists():
            return
        try:
            self.apply(from_json(self._snapshot_path.read_bytes(), ConfigBundle))
        except (ValueError, KeyError, Refusal) as exc:
            log.warning('config_snapshot_ignored', file=str(self._snapshot_path), error=str(exc))

    def _save_snapshot(self) -> None:
        if self._snapshot_path is None:
            return
        self._snapshot_path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._snapshot_path.with_suffix('.part')
        temporary.write_bytes(to_json(self.bundle()))
        temporary.replace(self._snapshot_path)


def _platform_down(exc: PeerError, ran: ExecutionStatus) -> Refusal:
    return Refusal(
        Reason.PLATFORM_DOWN,
        exc.detail,
        ran=ran,
        step=Step.ACCEPT,
        peer=exc.peer,
        retry_after_ms=1000,
    )
