"""Decides who is let in: which team a request belongs to, by the key that it carries."""

from enum import Enum

from attrs import field, frozen

from .teams import TeamTable

CURRENT_WITHIN_S = 2.0  # an entry that was told of no change for longer may have missed one


class KeyFault(str, Enum):
    """Why the key of a request is not accepted."""

    MISSING = 'missing'
    MALFORMED = 'malformed'
    REPEATED = 'repeated'
    UNKNOWN = 'unknown'


@frozen
class Credentials:
    """What a request says of its caller: a key, or the fault that keeps it from being one."""

    key: str = field(default='', repr=False)
    fault: KeyFault | None = None


NO_KEY = Credentials(fault=KeyFault.MISSING)


class Admission(Enum):
    """The outcome for a request."""

    ADMITTED = 'admitted'
    REFUSED = 'refused'
    IN_DOUBT = 'in doubt'  # the key may be one of a configuration that is not known here


@frozen
class Verdict:
    """The outcome for a request, with the name of its team if it is admitted.

    `team` is empty for callers of public routes that have no valid key.
    """

    admission: Admission
    team: str = ''
    fault: KeyFault | None = None


def admit(teams: TeamTable, public: bool, credentials: Credentials, age_s: float | None) -> Verdict:
    """Decide on a request where callers need keys.

    `public` says that its route needs none. `age_s` is how long ago this entry was last
    known to miss no change of the configuration, None if it never was. A key that is not
    known is refused only by an entry that knows all keys; a known one is accepted by all.
    """
    team = None if credentials.fault else teams.team_of_key(credentials.key)
    if team is not None:
        return Verdict(Admission.ADMITTED, team.name)
    if public:
        return Verdict(Admission.ADMITTED)
    if credentials.fault is not None:
        return Verdict(Admission.REFUSED, fault=credentials.fault)
    current = age_s is not None and age_s <= CURRENT_WITHIN_S
    knows_all = teams.complete and current
    admission = Admission.REFUSED if knows_all else Admission.IN_DOUBT
    return Verdict(admission, fault=KeyFault.UNKNOWN)
