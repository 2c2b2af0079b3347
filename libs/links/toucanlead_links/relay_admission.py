"""Admission of requests that an entry relays for others, without network or clock."""

from collections.abc import Callable

from attrs import define, frozen

COMMON_PLACES = 384  # requests in progress, the entry's own and relayed ones
MAX_RELAYED_REQUESTS = 192  # half of the places; the entry's own callers have the other half
MAX_RELAYED_BODY_BYTES = 16_777_216  # of all relayed requests in progress


@frozen(eq=False)
class RelayPlace:
    """Room for one relayed request with a body of `body_bytes`."""

    body_bytes: int


@define
class RelayAdmission:
    """Bounds the requests and the memory that an entry takes for others.

    `own_in_progress` returns the number of the entry's own requests. They are never refused
    here and come first: relayed requests get what they leave of the common places, and never
    more than their share.
    """

    own_in_progress: Callable[[], int]
    common_places: int = COMMON_PLACES
    max_requests: int = MAX_RELAYED_REQUESTS
    max_body_bytes: int = MAX_RELAYED_BODY_BYTES
    requests: int = 0
    body_bytes: int = 0

    def take(self, body_bytes: int) -> RelayPlace | None:
        """Return room for a request, to be given back, or None if there is none now."""
        if self.requests >= self.max_requests:
            return None
        if self.own_in_progress() + self.requests >= self.common_places:
            return None
        if self.body_bytes + body_bytes > self.max_body_bytes:
            return None
        self.requests += 1
        self.body_bytes += body_bytes
        return RelayPlace(body_bytes)

    def give_back(self, place: RelayPlace) -> None:
        """Give the room of a finished request back."""
        self.requests -= 1
        self.body_bytes -= place.body_bytes
