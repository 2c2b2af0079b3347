"""A running site for tests, and an HTTP client that acts as its caller."""

import asyncio
import functools

import aiohttp
import orjson
from attrs import define

from toucanlead_entry.context import Intervals
from toucanlead_policy.preset import Preset
from toucanlead_trials.site import SITE_PLANS, EntryPlace, Site, SitePlan, team_key

TEAM = 'flamaviva-0'
OTHER_TEAM = 'flamaviva-1'
MODEL = 'flama-llm'
FULL_PLAN = SITE_PLANS['flamaviva']
# Everything in one region, so that no test waits for the link between regions.
ONE_REGION_PLAN = SitePlan(
    'flamaviva',
    (
        EntryPlace('centro-1', 'centro-a', 'centro'),
        EntryPlace('centro-2', 'centro-b', 'centro'),
    ),
    'centro',
    ('centro-a', 'centro-b'),
    2,
    0.0,
)


@define
class HttpReply:
    """Response of the API; indexing reads its JSON document."""

    status: int
    document: dict
    headers: dict

    def __getitem__(self, key):
        return self.document[key]


@define
class Caller:
    """Sends a team's requests to the entry with index `entry`."""

    site: Site
    team: str = TEAM
    entry: int = 0

    async def request(self, method, path, body=None, *, raw=None, key=None, headers=None):
        """Send one request to the caller API; `raw` is sent in place of a JSON body."""
        address = self.site.caller_addresses[self.entry % len(self.site.caller_addresses)]
        request_headers = {
            'Authorization': f'Bearer {key or team_key(self.team)}',
            **(headers or {}),
        }
        data = raw if raw is not None else orjson.dumps(body) if body is not None else None
        async with self.site.session.request(
            method, f'http://{address}{path}', data=data, headers=request_headers
        ) as resp:
            text = await resp.read()
            document = orjson.loads(text) if 'json' in resp.content_type else {'text': text}
            return HttpReply(resp.status, document, dict(resp.headers))

    async def admin(self, method, path, body=None, key='operator-key'):
        """Send one request to the administration API."""
        daemon = self.site.daemons[self.entry]
        url = f'http://127.0.0.1:{daemon.admin_port}{path}'
        headers = {'Authorization': f'Bearer {key}'}
        async with self.site.session.request(method, url, json=body, headers=headers) as resp:
            return HttpReply(resp.status, orjson.loads(await resp.read()), dict(resp.headers))

    async def open(self, budget=5000, key='one', **spec):
        """Open a program and return its id."""
        body = {'model': MODEL, 'budget': budget, **spec}
        reply = await self.request('POST', '/v1/programs', body, headers={'Idempotency-Key': key})
        assert reply.status == 201, reply
        return reply['program_id']

    async def call_model(self, program, seq, text='The flame is yellow.', tokens=8, **fields):
        """Make a model call with an input whose answer has `tokens` tokens."""
        message = {'role': 'user', 'content': f'#{program}/{seq}~{tokens} {text}'}
        body = {'seq': seq, 'kind': 'model', 'messages': [message], 'max_tokens': 32, **fields}
        return await self.request('POST', f'/v1/programs/{program}/calls', body)

    async def call_tool(self, program, seq, tool, kind='tool'):
        """Make a tool or application call."""
        body = {'seq': seq, 'kind': kind, 'tool': tool, 'args': {'program': program, 'n': seq}}
        return await self.request('POST', f'/v1/programs/{program}/calls', body)

    async def metric(self, name, label):
        """Return a metric's value, summed over the entries and all lines that hold `label`."""
        total = 0.0
        for address in self.site.caller_addresses:
            async with self.site.session.get(f'http://{address}/metrics') as resp:
                for line in (await resp.text()).splitlines():
                    if line.startswith(name) and label in line:
                        total += float(line.rpartition(' ')[2])
        return total


def with_site(plan=ONE_REGION_PLAN, preset=None, intervals=None):
    """Decorate an async test method: start a site, pass a Caller in, stop the site."""

    def decorate(test):
        @functools.wraps(test)
        def wrapper(self):
            async def scenario():
                site = Site(plan)
                await site.start(preset or Preset(), intervals or Intervals())
                try:
                    await test(self, Caller(site))
                finally:
                    await site.stop()

            asyncio.run(scenario())

        # Otherwise pytest takes the wrapped test's parameters for fixtures.
        del wrapper.__wrapped__
        return wrapper

    return decorate


async def read_events(resp: aiohttp.ClientResponse) -> list[tuple[str, str, dict]]:
    """Return the id, event name and data of each server-sent event."""
    events = []
    event_id, event_name = '', ''
    async for raw in resp.content:
        name, _, value = raw.decode().rstrip('\n').partition(': ')
        if name == 'id':
            event_id = value
        elif name == 'event':
            event_name = value
        elif name == 'data':
            events.append((event_id, event_name, orjson.loads(value)))
    return events
