"""Channels to peers whose connection comes up late."""

import asyncio

import pytest

from toucanlead_core.errors import NotSent
from toucanlead_peer import channels
from toucanlead_peer.channels import ChannelPool

ADDRESS = '127.0.0.1:1'


class TestConnect:
    @pytest.fixture
    def connected(self, monkeypatch):
        """Return what ends the connecting of all channels."""
        ended = []

        async def connect(self):
            ended.append(asyncio.get_running_loop().create_future())
            return await ended[-1]

        monkeypatch.setattr(channels.LimitedChannel, '__connect__', connect)
        return ended

    def test_a_time_limit_around_it_holds_although_it_connects_at_that_moment(self, connected):
        """Guards against a task that goes on behind its time limit."""

        async def scenario():
            pool = ChannelPool()
            pool._set_socket_options = lambda *args: None
            went_on = False

            async def follow():
                nonlocal went_on
                async with asyncio.timeout(None) as silence:
                    timeouts.append(silence)
                    await pool.open(ADDRESS, 60.0)
                    await asyncio.sleep(0)
                    went_on = True

            timeouts = []
            task = asyncio.ensure_future(follow())
            while not connected:
                await asyncio.sleep(0)
            timeouts[0].reschedule(asyncio.get_running_loop().time())
            connected[0].set_result(None)
            with pytest.raises(TimeoutError):
                await task
            assert not went_on

        asyncio.run(scenario())

    def test_one_that_takes_too_long_is_not_sent(self, connected):
        async def scenario():
            pool = ChannelPool()
            with pytest.raises(NotSent):
                await pool.open(ADDRESS, 0.01)
            assert connected[0].cancelled()

        asyncio.run(scenario())
