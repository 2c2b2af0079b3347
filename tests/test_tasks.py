"""Background tasks end when their process stops."""

import asyncio

from toucanlead_core.tasks import MAX_RESTART_DELAY_S, TaskSet
from toucanlead_standins.virtual_loop import run_virtual


class TestCancel:
    def test_a_task_whose_cancellation_was_swallowed_ends_too(self):
        async def connection_lost_at_the_same_moment():
            while True:
                try:
                    await asyncio.sleep(10.0)
                except asyncio.CancelledError:
                    swallowed.append(True)
                    if len(swallowed) > 1:
                        raise

        async def scenario():
            tasks = TaskSet()
            tasks.spawn(connection_lost_at_the_same_moment(), 'follow')
            await asyncio.sleep(0)
            async with asyncio.timeout(2.0):
                await tasks.cancel()

        swallowed = []
        asyncio.run(scenario())
        assert len(swallowed) == 2


class TestKeepRunning:
    def test_a_duty_that_fails_or_ends_is_started_again(self, event_log):
        """Guards against a background task whose end nobody notices (CONFIG)."""
        starts, failures = [], []

        async def duty():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) == 1:
                raise RuntimeError('unexpected')
            if len(starts) > 2:
                await asyncio.sleep(1e6)

        async def scenario():
            tasks = TaskSet(failures.append)
            tasks.keep_running(duty, 'follow')
            await asyncio.sleep(5.0)
            await tasks.cancel()

        run_virtual(scenario())
        assert len(starts) == 3
        assert failures == ['follow', 'follow']
        text = event_log.getvalue()
        assert 'event=task_failed task=follow' in text
        assert 'event=task_ended task=follow' in text

    def test_the_pause_between_starts_is_bounded(self):
        starts = []

        async def duty():
            starts.append(asyncio.get_running_loop().time())
            raise RuntimeError('always')

        async def scenario():
            tasks = TaskSet()
            tasks.keep_running(duty, 'follow')
            await asyncio.sleep(100.0)
            await tasks.cancel()

        run_virtual(scenario())
        pauses = [round(after - before, 6) for before, after in zip(starts, starts[1:])]
        assert max(pauses) <= MAX_RESTART_DELAY_S + 0.1
        assert pauses == sorted(pauses)
        assert 20 < len(starts) < 40

    def test_a_task_that_is_not_a_duty_is_counted_when_it_fails(self):
        failures = []

        async def once():
            raise RuntimeError('unexpected')

        async def scenario():
            TaskSet(failures.append).spawn(once(), 'once')
            await asyncio.sleep(0.1)

        run_virtual(scenario())
        assert failures == ['once']
