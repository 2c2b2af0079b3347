"""Background tasks end when their process stops."""

import asyncio

from toucanlead_core.tasks import TaskSet


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
