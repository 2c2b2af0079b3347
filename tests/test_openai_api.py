"""Tests of the OpenAI-compatible API, with the unmodified client library."""

import openai
import pytest

from toucanlead_trials.site import team_key

from .utils.site import MODEL, with_site


def client_for(caller, entry=0):
    return openai.AsyncOpenAI(
        api_key=team_key(caller.team),
        base_url=f'http://{caller.site.caller_addresses[entry]}/v1',
        max_retries=0,
    )


class TestChatCompletions:
    @with_site()
    async def test_a_conversation_in_one_program(self, caller):
        program = await caller.open()
        messages = [{'role': 'user', 'content': f'#{program}/1~6 the jet is clogged'}]
        headers = {'X-Toucanlead-Program': program}
        async with client_for(caller) as client:
            first = await client.chat.completions.create(
                model=MODEL, messages=messages, max_tokens=20, extra_headers=headers
            )
            text = first.choices[0].message.content
            assert text.startswith(f'@{program}/1 ')
            messages += [
                {'role': 'assistant', 'content': text},
                {'role': 'user', 'content': f'#{program}/2~5 and now'},
            ]
            second = await client.chat.completions.create(
                model=MODEL, messages=messages, max_tokens=20, extra_headers=headers
            )
        assert second.choices[0].message.content.startswith(f'@{program}/2 ')
        assert second.usage.prompt_tokens_details.cached_tokens > 0

    @with_site()
    async def test_streaming(self, caller):
        messages = [{'role': 'user', 'content': '#solo/1~9 hello'}]
        async with client_for(caller) as client:
            stream = await client.chat.completions.create(
                model=MODEL, messages=messages, max_tokens=20, stream=True
            )
            parts = [c.choices[0].delta.content or '' async for c in stream]
        assert len(''.join(parts).split()) == 9

    @with_site()
    async def test_a_repeat_returns_the_stored_answer(self, caller):
        program = await caller.open()
        messages = [{'role': 'user', 'content': f'#{program}/1~6 the jet is clogged'}]
        headers = {'X-Toucanlead-Program': program}
        async with client_for(caller) as client:
            create = client.chat.completions.create
            for _ in range(2):
                await create(model=MODEL, messages=messages, max_tokens=20, extra_headers=headers)
        view = await caller.request('GET', f'/v1/programs/{program}')
        assert view['turns'] == 1

    @with_site()
    async def test_messages_that_contradict_the_history_are_refused(self, caller):
        program = await caller.open()
        await caller.call_model(program, 1)
        messages = [{'role': 'user', 'content': 'something else'}]
        async with client_for(caller) as client:
            with pytest.raises(openai.ConflictError) as caught:
                await client.chat.completions.create(
                    model=MODEL,
                    messages=messages,
                    extra_headers={'X-Toucanlead-Program': program},
                )
        assert caught.value.response.json()['reason'] == 'history_mismatch'
