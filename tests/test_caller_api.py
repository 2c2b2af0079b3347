"""Tests of the native HTTP API for callers."""

import asyncio

import orjson

from toucanlead_trials.site import team_key

from .utils.site import FULL_PLAN, MODEL, OTHER_TEAM, Caller, read_events, with_site


class TestPrograms:
    @with_site()
    async def test_open_call_show_end(self, caller):
        program = await caller.open()
        answer = await caller.call_model(program, 1)
        assert answer.status == 200, answer
        assert answer['content'].startswith(f'@{program}/1 ')
        booked = await caller.call_tool(program, 2, 'book')
        assert booked['content'] == f'@{program}/2 book done'
        view = await caller.request('GET', f'/v1/programs/{program}')
        assert view['turns'] == 2
        assert [m['role'] for m in view['history']] == ['user', 'assistant', 'tool']
        assert 0 < view['spent'] <= view['granted'] <= view['budget']
        ended = await caller.request('DELETE', f'/v1/programs/{program}')
        assert ended['ended'] is True
        late = await caller.call_model(program, 3)
        assert (late.status, late['reason'], late['ran']) == (410, 'program_ended', 'not_run')

    @with_site()
    async def test_open_is_idempotent_by_key(self, caller):
        first = await caller.open(key='same')
        caller.entry = 1
        assert await caller.open(key='same') == first
        body = {'model': MODEL, 'budget': 77}
        other = await caller.request(
            'POST', '/v1/programs', body, headers={'Idempotency-Key': 'same'}
        )
        assert (other.status, other['reason']) == (409, 'body_mismatch')

    @with_site(plan=FULL_PLAN)
    async def test_any_entry_serves_any_program_across_regions(self, caller):
        program = await caller.open()
        for seq, entry in enumerate([0, 1, 2, 0], 1):
            caller.entry = entry
            answer = await caller.call_model(program, seq)
            assert answer['content'].startswith(f'@{program}/{seq} ')

    @with_site()
    async def test_end_frees_engine_memory(self, caller):
        program = await caller.open()
        await caller.call_model(program, 1)
        assert caller.site.held_program_names()
        await caller.request('DELETE', f'/v1/programs/{program}')
        async with asyncio.timeout(5):
            while caller.site.held_program_names():
                await asyncio.sleep(0.02)


class TestCalls:
    @with_site()
    async def test_a_repeat_gives_the_same_answer_and_does_not_run_again(self, caller):
        program = await caller.open()
        first = await caller.call_tool(program, 1, 'charge')
        again = await caller.call_tool(program, 1, 'charge')
        assert first.document == again.document
        assert caller.site.recorder.counts()['doubled_effect'] == 0

    @with_site()
    async def test_the_same_seq_with_another_body_is_refused(self, caller):
        program = await caller.open()
        await caller.call_tool(program, 1, 'charge')
        other = await caller.call_tool(program, 1, 'order')
        assert (other.status, other['reason'], other['ran']) == (409, 'body_mismatch', 'not_run')

    @with_site()
    async def test_calls_that_arrive_out_of_order_take_effect_in_order(self, caller):
        program = await caller.open()
        calls = [caller.call_model(program, seq) for seq in (3, 2, 1)]
        answers = await asyncio.gather(*calls)
        assert [a['seq'] for a in answers] == [3, 2, 1]
        view = await caller.request('GET', f'/v1/programs/{program}')
        contents = [m['content'] for m in view['history'] if m['role'] == 'assistant']
        assert [text.split()[0] for text in contents] == [f'@{program}/{n}' for n in (1, 2, 3)]

    @with_site()
    async def test_a_caller_that_hung_up_fetches_its_answer_late(self, caller):
        program = await caller.open()
        try:
            await asyncio.wait_for(caller.call_model(program, 1, tokens=30), 0.02)
        except TimeoutError:
            pass
        answer = await caller.request('GET', f'/v1/programs/{program}/calls/1')
        assert answer['output_tokens'] == 30

    @with_site()
    async def test_a_stream_resumes_from_the_last_event_id(self, caller):
        program = await caller.open()
        path = f'/v1/programs/{program}/calls'
        message = {'role': 'user', 'content': f'#{program}/1~20 hello'}
        body = {'seq': 1, 'kind': 'model', 'messages': [message]}
        address = caller.site.caller_addresses[0]
        headers = {
            'Authorization': f'Bearer {team_key(caller.team)}',
            'Accept': 'text/event-stream',
        }
        async with caller.site.session.post(
            f'http://{address}{path}', data=orjson.dumps(body), headers=headers
        ) as resp:
            events = await read_events(resp)
        tokens = [e for e in events if e[1] == 'token']
        assert sum(e[2]['tokens'] for e in tokens) == 20
        assert events[-1][1] == 'answer'
        assert ''.join(e[2]['text'] for e in tokens) == events[-1][2]['content']

    @with_site()
    async def test_an_unknown_tool_is_refused_as_not_run(self, caller):
        program = await caller.open()
        reply = await caller.call_tool(program, 1, 'teleport')
        assert (reply.status, reply['reason'], reply['ran']) == (404, 'unknown_tool', 'not_run')


class TestBudget:
    @with_site()
    async def test_a_call_that_could_overspend_is_refused(self, caller):
        program = await caller.open(budget=60)
        assert (await caller.call_model(program, 1)).status == 200
        refused = await caller.call_model(program, 2, max_tokens=100)
        assert (refused.status, refused['reason']) == (402, 'budget_exhausted')
        assert refused['ran'] == 'not_run'
        view = await caller.request('GET', f'/v1/programs/{program}')
        assert view['spent'] <= 60

    @with_site()
    async def test_sub_agents_draw_on_the_budget_of_the_root(self, caller):
        root = await caller.open(budget=100)
        child = await caller.open(budget=1, key='child', parent=root)
        assert (await caller.call_model(child, 1)).status == 200
        refused = await caller.call_model(root, 1, max_tokens=90)
        assert refused['reason'] == 'budget_exhausted'


class TestBadInput:
    @with_site()
    async def test_each_bad_request_gets_a_problem_document_and_changes_nothing(self, caller):
        program = await caller.open()
        calls = f'/v1/programs/{program}/calls'
        good = {'seq': 1, 'kind': 'model', 'messages': [{'role': 'user', 'content': 'x'}]}
        bad = [
            ('POST', calls, b'{"seq": 1', 400),
            ('POST', calls, b'[]', 400),
            ('POST', calls, b'\xff\xfe', 400),
            ('POST', calls, orjson.dumps({**good, 'seq': '1'}), 400),
            ('POST', calls, orjson.dumps({**good, 'seq': 0}), 400),
            ('POST', calls, orjson.dumps({**good, 'seq': True}), 400),
            ('POST', calls, orjson.dumps({**good, 'kind': 'dance'}), 400),
            ('POST', calls, orjson.dumps({**good, 'messages': []}), 400),
            ('POST', calls, orjson.dumps({**good, 'surprise': 1}), 400),
            ('POST', calls, orjson.dumps({**good, 'max_tokens': -1}), 400),
            ('POST', calls, b'"' + b'x' * 600_000 + b'"', 413),
            ('POST', '/v1/programs', b'{"model": 7, "budget": 1}', 400),
            ('POST', '/v1/programs', b'{"model": "flama-llm", "budget": 0}', 400),
            ('POST', '/v1/programs', b'{"model": "nobody", "budget": 5}', 404),
            ('POST', '/v1/programs', b'7', 400),
            ('GET', '/v1/programs/nonsense', None, 404),
            ('GET', '/v1/programs/p0001-feed', None, 404),
            ('GET', f'{calls}/banana', None, 400),
            ('GET', f'{calls}/9', None, 404),
        ]
        for method, path, raw, status in bad:
            reply = await caller.request(method, path, raw=raw)
            assert reply.status == status, (method, path, raw and raw[:60], reply)
            assert reply['ran'] == 'not_run', (path, reply)
            assert reply['detail'] or reply['reason'], reply
        view = await caller.request('GET', f'/v1/programs/{program}')
        assert (view['turns'], view['spent']) == (0, 0)
        assert (await caller.call_model(program, 1)).status == 200

    @with_site()
    async def test_refusals_are_counted_by_reason(self, caller):
        program = await caller.open()
        before = await caller.metric('toucanlead_refusals_total', 'unknown_call')
        await caller.request('GET', f'/v1/programs/{program}/calls/9')
        after = await caller.metric('toucanlead_refusals_total', 'unknown_call')
        assert after == before + 1
        assert await caller.metric('toucanlead_refusals_total', 'in_doubt') == 0


class TestTeams:
    @with_site()
    async def test_another_teams_program_is_unknown(self, caller):
        program = await caller.open()
        other = Caller(caller.site, OTHER_TEAM)
        for method, path in [
            ('GET', f'/v1/programs/{program}'),
            ('DELETE', f'/v1/programs/{program}'),
            ('GET', f'/v1/programs/{program}/calls/1'),
        ]:
            reply = await other.request(method, path)
            assert (reply.status, reply['reason']) == (404, 'unknown_program')
        assert (await other.call_model(program, 1)).status == 404
        assert (await caller.call_model(program, 1)).status == 200

    @with_site()
    async def test_a_wrong_key_is_unauthorized(self, caller):
        reply = await caller.request('GET', '/v1/programs/p0001-aa', key='guess')
        assert (reply.status, reply['reason']) == (401, 'unauthorized')
