"""What an entry believes of the links that its peers have to replicas, from what they answered."""

from collections import defaultdict
from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from toucanlead_core.ids import rendezvous

from .relay import RelayRefusal

# How long a peer is not asked again after each refusal, in seconds.
UNUSABLE_S = {
    RelayRefusal.CUT_OFF: 1.0,
    RelayRefusal.BUSY: 0.1,
    RelayRefusal.STOPPING: 5.0,
    RelayRefusal.NO_ANSWER: 1.0,
    RelayRefusal.UNREACHABLE: 3.0,
}
BAD_LINK_S = 1.0  # the same for one replica that a peer does not reach or know
PEERS_PER_ZONE = 2  # that are considered for a request; their number must not grow with the fleet
MAX_BAD_LINKS = 1024


@frozen
class Peer:
    """Another entry: its address for other processes, and its location."""

    address: str
    zone: str
    region: str


@define
class PeerState:
    """What is believed of one peer; times are loop times in seconds.

    `outstanding` counts this entry's requests that the peer carries, `heard_at` is when it
    last brought an answer of a replica, `refusal` is the last reason why it did not.
    """

    outstanding: int = 0
    unusable_until: float = float('-inf')
    heard_at: float = float('-inf')
    refusal: RelayRefusal | None = None


@define(eq=False)
class PeerLinks:
    """The peers of the entry at `address`, and their links to replicas.

    Each entry prefers other peers, so that the requests of many entries are spread.
    """

    address: str
    _states: dict[str, PeerState] = field(factory=dict)
    _bad_links: dict[tuple[str, str], float] = field(factory=dict)
    _suggested: str = ''
    _version: int | None = None
    _by_address: dict[str, Peer] = field(factory=dict)
    _by_zone: dict[str, list[Peer]] = field(factory=dict)

    def update(self, peers: Callable[[], Sequence[Peer]], version: int) -> None:
        """Set the entries that exist, this one included; `version` changes with them."""
        if version == self._version:
            return
        self._version = version
        self._by_address = {p.address: p for p in peers() if p.address != self.address}
        by_zone = defaultdict(list)
        for address in rendezvous(self.address, list(self._by_address)):
            peer = self._by_address[address]
            by_zone[peer.zone].append(peer)
        self._by_zone = dict(by_zone)
        for address in self._states.keys() - self._by_address.keys():
            if not self._states[address].outstanding:
                del self._states[address]

    def is_in_region(self, address: str, region: str) -> bool:
        """Return whether the peer at an address is known to be in a region."""
        peer = self._by_address.get(address)
        return peer is not None and peer.region == region

    def state(self, address: str) -> PeerState:
        """Return what is believed of a peer."""
        return self._states.setdefault(address, PeerState())

    def usable(self, now: float) -> list[Peer]:
        """Return a few peers of each zone that may carry requests, and the one suggested last."""
        found = []
        for peers in self._by_zone.values():
            left = PEERS_PER_ZONE
            for peer in peers:
                if self._is_usable(peer.address, now):
                    if left > 0:
                        found.append(peer)
                        left -= 1
                    elif peer.address == self._suggested:
                        found.append(peer)
        return found

    def has_link(self, address: str, run: str, now: float) -> bool:
        """Return whether a peer is believed to reach a run of a replica."""
        return self._bad_links.get((address, run), float('-inf')) <= now

    def record_refusal(
        self, address: str, run: str, refusal: RelayRefusal, suggested_peer: str, now: float
    ) -> None:
        """Record that a peer did not pass a request on to a run of a replica."""
        state = self.state(address)
        state.refusal = refusal
        if refusal in UNUSABLE_S:
            state.unusable_until = now + UNUSABLE_S[refusal]
        else:
            self._record_bad_link(address, run, now)
        if suggested_peer and self._is_usable(suggested_peer, now):
            self._suggested = suggested_peer

    def record_heard(self, address: str, now: float) -> None:
        """Record that a peer brought an answer of a replica."""
        state = self.state(address)
        state.heard_at = now
        state.refusal = None

    def best(self, now: float) -> str:
        """Return the address of the usable peer that brought an answer last, or empty."""
        heard = [
            (state.heard_at, address)
            for address, state in self._states.items()
            if state.heard_at > float('-inf') and state.unusable_until <= now
        ]
        return max(heard)[1] if heard else ''

    def _is_usable(self, address: str, now: float) -> bool:
        state = self._states.get(address)
        return state is None or state.unusable_until <= now

    def _record_bad_link(self, address: str, run: str, now: float) -> None:
        if len(self._bad_links) >= MAX_BAD_LINKS:
            self._bad_links = {k: until for k, until in self._bad_links.items() if until > now}
        self._bad_links[address, run] = now + BAD_LINK_S
