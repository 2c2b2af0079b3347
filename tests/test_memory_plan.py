"""How the memory of a VM is divided."""

import pytest

from toucanlead.status import ExitStatus
from toucanlead_core.memory_plan import BYTES_PER_MB, PROCESS_BYTES, MemoryPlan

from .utils.command import toucanlead

SETTINGS = """
[process]
name = 'entry-1'
zone = 'centro-a'
region = 'centro'

[listen]
peers = '127.0.0.1:8000'

[service]
address = '127.0.0.1:8142'

[limits]
memory_mb = {memory_mb}

[zones]
centro-a = 'centro'
"""
SMALLEST_MB = 128  # of the deployments' entries
SIZES_MB = (SMALLEST_MB, 136, 150, 200, 256, 300, 552, 1024, 4096)


class TestMemoryPlan:
    @pytest.mark.parametrize('memory_mb', SIZES_MB)
    def test_all_parts_at_their_most_fit_into_the_vm(self, memory_mb):
        plan = MemoryPlan.for_vm(memory_mb)
        assert plan.fits
        assert plan.planned < memory_mb * BYTES_PER_MB

    def test_every_part_counts(self):
        plan = MemoryPlan.for_vm(SMALLEST_MB)
        assert plan.planned == sum(plan.parts.values())
        assert plan.parts['process'] == PROCESS_BYTES
        assert all(size > 0 for size in plan.parts.values())

    def test_a_vm_that_is_too_small_says_so(self):
        assert not MemoryPlan.for_vm(64).fits

    @pytest.mark.parametrize('part', ['answers', 'store', 'peers', 'relayed'])
    def test_a_message_of_the_longest_kind_fits_into_any_vm(self, part):
        plan = MemoryPlan.for_vm(16)
        assert plan.parts[part] >= 4_194_304

    @pytest.mark.parametrize(
        ('memory_mb', 'connections', 'backlog'),
        [(128, 1024, 96), (256, 2048, 192), (8192, 65_536, 512)],
    )
    def test_connections_follow_the_memory(self, memory_mb, connections, backlog):
        plan = MemoryPlan.for_vm(memory_mb)
        assert (plan.max_connections, plan.backlog) == (connections, backlog)


class TestCheckConfig:
    def check(self, tmp_path, memory_mb):
        path = tmp_path / 'settings.toml'
        path.write_text(SETTINGS.format(memory_mb=memory_mb))
        return toucanlead('check-config', str(path), '--adapter', 'platform')

    def test_it_prints_what_each_part_may_hold(self, tmp_path):
        result = self.check(tmp_path, SMALLEST_MB)
        assert result.status is ExitStatus.SUCCESS
        for name in MemoryPlan.for_vm(SMALLEST_MB).parts:
            assert f'memory  {name} ' in result.stdout
        assert 'of 128.0 MB' in result.stdout
        assert not result.stderr

    def test_it_says_when_the_parts_do_not_fit(self, tmp_path):
        result = self.check(tmp_path, 64)
        assert result.status is ExitStatus.SUCCESS
        assert 'limits.memory_mb is too small' in result.stderr
