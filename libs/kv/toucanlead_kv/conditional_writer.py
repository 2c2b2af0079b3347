"""Conditional writes that read the key back when the response was lost."""

from toucanlead_core.errors import NotSent, OutcomeUnknown, PeerError
from toucanlead_core.timers import Timers

from .kv import Compare, Delete, KeyValueStore, Put

RETRY_DELAY_S = 0.05
RETRY_DELAY_LIMIT_S = 1.0


class ConditionalWriter:
    """Makes conditional writes to the key-value service whose outcome is certain."""

    def __init__(self, store: KeyValueStore, timers: Timers) -> None:
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
        """Write if the key is at `mod_rev` and the guards hold; return whether it was written.

        The value must be unique to this write, for example by a nonce, because it is
        compared with the stored value after a lost response. `extra` operations are part
        of the same transaction. Retries until `deadline`, a time of the writer's timers, and
        then raises OutcomeUnknown or NotSent; without a deadline, retries until the outcome
        is known.
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
                return await self._is_written(put)
            except OutcomeUnknown:
                uncertain = True
            except NotSent:
                pass
            if deadline is not None and self._timers.now() + delay_s > deadline:
                raise _timeout_error(put.key, uncertain)
            await self._timers.sleep(delay_s)
            delay_s = min(2 * delay_s, RETRY_DELAY_LIMIT_S)

    async def _is_written(self, put: Put) -> bool:
        entry = await self._store.get(put.key)
        return entry is not None and entry.value == put.value


def _timeout_error(key: str, uncertain: bool) -> PeerError:
    error_class = OutcomeUnknown if uncertain else NotSent
    return error_class(f'no response while writing {key}', step='write', peer='key-value service')
