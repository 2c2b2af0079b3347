"""Records by which entries coordinate in the key-value service, and their keys."""

from attrs import field, frozen


@frozen
class MemberRecord:
    """A live entry; the key-value service deletes it when the entry's lease expires.

    `holder` names the entry's current incarnation.
    """

    entry: str
    holder: str
    peer_address: str
    zone: str
    region: str
    nonce: str


@frozen
class IncarnationRecord:
    """One run of an entry, called `holder`; it may write its journal while unsealed.

    `sealed_by` names the holder that sealed it, empty until then.
    """

    holder: str
    sealed_by: str
    nonce: str


@frozen
class SlotRecord:
    """The holder that owns a slot.

    `lineage` names the holders, oldest first, whose journals may have records that
    are in no checkpoint yet. `epoch` grows with each change of owner.
    """

    slot: int
    holder: str
    epoch: int
    nonce: str
    lineage: list[str] = field(factory=list)


MEMBERS_PREFIX = 'members/'
SLOTS_PREFIX = 'slots/'


def member_key(entry: str) -> str:
    """Return the key of a member record."""
    return f'{MEMBERS_PREFIX}{entry}'


def incarnation_key(holder: str) -> str:
    """Return the key of an incarnation record."""
    return f'incarnations/{holder}'


def slot_key(slot: int) -> str:
    """Return the key of a slot record."""
    return f'{SLOTS_PREFIX}{slot:04x}'


def journal_prefix(holder: str) -> str:
    """Return the key prefix of a holder's journal."""
    return f'journal/{holder}/'


def journal_key(holder: str, index: int) -> str:
    """Return the key of a journal segment."""
    return f'{journal_prefix(holder)}{index:08d}'


def holder_name(entry: str, incarnation: int) -> str:
    """Return the holder name of one incarnation of an entry."""
    return f'{entry}.{incarnation}'
