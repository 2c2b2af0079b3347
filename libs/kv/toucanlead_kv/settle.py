"""Writes whose lost answers are settled by reading the key back."""

from toucanlead_core.errors import NotSent, OutcomeUnknown, PeerError
from toucanlead_core.timers import Timers

from .kv import Compare, Delete, KeyValueStore, Put

RETRY_DELAY_S = 0.05
RETRY_DELAY_LIMIT_S = 1.0


class SettledWriter:
    """Conditional writes that end in a certain yes or no."""

    def __init__(self, store: KeyValueStore, timers: Timers) -> None:
        """Take the service and the time."""
        self._store = store
        self._timers = timers

    async def write(
        self,
        put: Put,
        mod_rev: int,
        guards: list[Compare] | None = None,
        deadline: float | None = None,
        extra: list[Put | Delete] | None = None,
    ) -> bool:
        """Write when the key is at `mod_rev` and the guards hold.

        The value must be unique to this write (it carries a nonce), since a
        lost answer is settled by comparing it. Retries until the deadline,
        then raises OutcomeUnknown or NotSent.
        """
        compares = [Compare(put.key, mod_rev), *(guards or [])]
        ops = [put, *(extra or [])]
        uncertain = False
        delay_s = RETRY_DELAY_S
        while True:
            try:
                result = await self._store.txn(compares, ops)
                if result.succeeded or not uncertain:
                    return result.succeeded
                return await self._holds(put)
            except OutcomeUnknown:
                uncertain = True
            except NotSent:
                pass
            if deadline is not None and self._timers.now() + delay_s > deadline:
                raise _out_of_time(put.key, uncertain)
            await self._timers.sleep(delay_s)
            delay_s = min(2 * delay_s, RETRY_DELAY_LIMIT_S)

    async def _holds(self, put: Put) -> bool:
        entry = await self._store.get(put.key)
        return entry is not None and entry.value == put.value


def _out_of_time(key: str, uncertain: bool) -> PeerError:
    kind = OutcomeUnknown if uncertain else NotSent
    return kind(f'no answer for {key}', step='write', peer='key-value service')
