"""How the memory of a VM is divided among all that its process may hold for others."""

from attrs import fields, frozen

BYTES_PER_MB = 1_048_576
PROCESS_BYTES = 52 * BYTES_PER_MB  # of a process that holds nothing for anybody
MONITOR_PORTS = 2  # readiness and metrics
MONITOR_BYTES = 524_288  # for each of them
CONNECTION_BYTES = 12_288  # of a connection that holds no request
UNACCEPTED_BYTES = 65_536  # what the kernel receives before a connection is accepted
LONGEST_ANSWER_BYTES = 4_194_304  # of a back end, read as a whole


@frozen
class Share:
    """A share of the memory, never below and never above a number of bytes."""

    share: float
    least: int = 0
    most: float = float('inf')

    def of(self, memory_bytes: float) -> int:
        """Return the bytes of the share."""
        return int(min(max(memory_bytes * self.share, self.least), self.most))


CALLERS = Share(1 / 8)
LEAVING = Share(1 / 32)
CONNECTIONS = Share(3 / 32)
UNACCEPTED = Share(3 / 64, most=512 * UNACCEPTED_BYTES)
ANSWERS = Share(1 / 16, least=2 * LONGEST_ANSWER_BYTES, most=4 * LONGEST_ANSWER_BYTES)
STORE = Share(1 / 32, least=LONGEST_ANSWER_BYTES, most=2 * LONGEST_ANSWER_BYTES)
PEERS = Share(7 / 64, least=14 * BYTES_PER_MB, most=24 * BYTES_PER_MB)
RELAYED = Share(1 / 32, least=LONGEST_ANSWER_BYTES, most=16 * BYTES_PER_MB)
TURNS = Share(3 / 64, most=6_000_000)


@frozen
class MemoryPlan:
    """The most that a process holds, in bytes, by for whom it holds it.

    `callers` is for requests that come or wait and for answers that are not taken, in the
    process and in the kernel, and `leaving` for that of connections that are given up and have
    not ended. `connections` is for their connections alone, and `unaccepted` for those that wait
    to be accepted. `answers` is for answers of replicas, `store` for those of
    the key-value service, `peers` for messages of peers, `relayed` for requests that are sent
    on for peers, and `turns` for recent turns. `monitors` is for readiness and metrics.
    """

    memory: int
    process: int
    callers: int
    leaving: int
    connections: int
    unaccepted: int
    answers: int
    store: int
    peers: int
    relayed: int
    turns: int
    monitors: int

    @classmethod
    def for_vm(cls, memory_mb: float) -> 'MemoryPlan':
        """Divide the memory of a VM, given in MiB."""
        memory = int(memory_mb * BYTES_PER_MB)
        return cls(
            memory=memory,
            process=PROCESS_BYTES,
            callers=CALLERS.of(memory),
            leaving=LEAVING.of(memory),
            connections=CONNECTIONS.of(memory),
            unaccepted=UNACCEPTED.of(memory),
            answers=ANSWERS.of(memory),
            store=STORE.of(memory),
            peers=PEERS.of(memory),
            relayed=RELAYED.of(memory),
            turns=TURNS.of(memory),
            monitors=MONITOR_PORTS * MONITOR_BYTES,
        )

    @property
    def parts(self) -> dict[str, int]:
        """The bytes of each part, by its name."""
        names = [each.name for each in fields(MemoryPlan) if each.name != 'memory']
        return {name: getattr(self, name) for name in names}

    @property
    def planned(self) -> int:
        """The sum of all parts."""
        return sum(self.parts.values())

    @property
    def fits(self) -> bool:
        """Whether all parts at their most fit into the memory."""
        return self.planned <= self.memory

    @property
    def max_connections(self) -> int:
        """How many connections of callers fit into their part."""
        return max(1, self.connections // CONNECTION_BYTES)

    @property
    def backlog(self) -> int:
        """How many connections may wait to be accepted."""
        return max(1, self.unaccepted // UNACCEPTED_BYTES)
