"""Choice of a replica together with the link to it: this entry's own, or that of a peer."""

from collections.abc import Callable, Sequence

from attrs import evolve, frozen

from toucanlead_policy.placement import (
    CROSS_REGION_COST_MS,
    CROSS_ZONE_COST_MS,
    Candidate,
    Placement,
    PlacementReq,
)

from .own_links import OwnLinks
from .peer_links import Peer, PeerLinks

RELAY_COST_MS = 2.0  # of the work of a peer for one request
RELAYED_COST_MS = 3.0  # of each further request that the peer carries for this entry


@frozen
class ChosenLink:
    """A replica, and the address of the peer whose link to it is used; empty for the own link."""

    replica: str
    peer: str = ''


def choose_link(
    placement: Placement,
    own: OwnLinks,
    peers: PeerLinks,
    req: PlacementReq,
    candidates: Sequence[Candidate],
    cached_tokens: dict[str, int],
    runs: dict[str, str],
    has_idle_connection: Callable[[str], bool],
    now: float,
    avoid: frozenset[str] = frozenset(),
) -> ChosenLink | None:
    """Return the replica and link of least cost, None if no replica can be reached.

    `candidates` are the replicas that may take the request, `runs` names the run of each,
    `cached_tokens` gives the tokens of the prompt that each has cached; those in `avoid` are
    left out. Peers are considered only while the own links are down.
    """
    direct = [
        candidate
        for candidate in candidates
        if not own.down or own.usable(has_idle_connection(candidate.name), now)
    ]
    best = placement.choose(req, direct, cached_tokens, now, avoid)
    if not own.down:
        return ChosenLink(best.name) if best is not None else None
    chosen, chosen_cost = None, 0.0
    if best is not None:
        chosen = ChosenLink(best.name)
        chosen_cost = placement.cost_ms(req, best, cached_tokens.get(best.name, 0), now)
    for peer in peers.usable(now):
        reached = [
            candidate
            for candidate in candidates
            if peers.has_link(peer.address, runs[candidate.name], now)
        ]
        req_there = evolve(req, zone=peer.zone, region=peer.region)
        best = placement.choose(req_there, reached, cached_tokens, now, avoid)
        if best is None:
            continue
        cost = placement.cost_ms(req_there, best, cached_tokens.get(best.name, 0), now)
        cost += _detour_ms(req, peer) + RELAYED_COST_MS * peers.state(peer.address).outstanding
        if chosen is None or cost < chosen_cost:
            chosen, chosen_cost = ChosenLink(best.name, peer.address), cost
    return chosen


def _detour_ms(req: PlacementReq, peer: Peer) -> float:
    """Return the expected cost of the way to a peer and of its work, in milliseconds."""
    if peer.region != req.region:
        return RELAY_COST_MS + CROSS_REGION_COST_MS
    if peer.zone != req.zone:
        return RELAY_COST_MS + CROSS_ZONE_COST_MS
    return RELAY_COST_MS
