"""Programs of one team: which are going on, and how many requests they will still make."""

from attrs import define, field

IDLE_S = 3.0  # a program without a request for so long has ended
KNOWN_S = 60.0  # how long a program that has ended counts as begun if it comes back
MAX_ENDED = 4096
PRIOR_REQUESTS, PRIOR_DURATION_S = 5.0, 2.0  # expected of a team's first programs
MIN_EXPECTED = 5.0  # requests; fewer say nothing of how good a forecast is
MIN_CORRECTION, CORRECTION_WEIGHT = 0.7, 0.3
PRIOR_WEIGHT, MAX_WEIGHT = 3, 50  # programs; a program later counts as one in MAX_WEIGHT


@define
class _Program:
    began_at: float
    last_at: float
    requests: int = 0
    hindered: bool = False  # a request was refused, so that its length says little


@define
class _Forecast:
    """What was expected of the programs that were going on, and what they did."""

    made_at: float
    until: float
    expected: float
    requests: int = 0
    hindered: bool = False


@define
class TeamPrograms:
    """The programs of one team that a keeper has seen."""

    requests_each: float = PRIOR_REQUESTS
    duration_s: float = PRIOR_DURATION_S
    _weight: int = PRIOR_WEIGHT
    _correction: float = 1.0
    _forecast: _Forecast | None = None
    _live: dict[str, _Program] = field(factory=dict)
    _ended: dict[str, float] = field(factory=dict)

    def is_begun(self, program: str) -> bool:
        """Return whether a program has made a request lately."""
        return program in self._live or program in self._ended

    def count(self, program: str, now: float) -> None:
        """Count a request of a program."""
        known = self._live.pop(program, None)
        if known is None:
            self._ended.pop(program, None)
            known = _Program(now, now)
        elif self._forecast and known.began_at <= self._forecast.made_at:
            self._forecast.requests += 1
        known.last_at = now
        known.requests += 1
        self._live[program] = known  # the one with the oldest request stays first

    def hinder(self, program: str) -> None:
        """Note that a request of a program was refused."""
        if program in self._live:
            self._live[program].hindered = True
        if self._forecast:
            self._forecast.hindered = True

    def expected(self, now: float) -> float:
        """Return how many requests the programs that are going on will still make.

        The longer a program is idle, the less likely is it to go on.
        """
        self._end_idle(now)
        expected = sum(
            max(1.0, self.requests_each - program.requests)
            * (1.0 - (now - program.last_at) / IDLE_S)
            for program in self._live.values()
        )
        self._correct(expected, now)
        return self._correction * expected

    def _correct(self, expected: float, now: float) -> None:
        """Compare what was expected with what came, over the time of a program."""
        forecast = self._forecast
        if forecast is None:
            if expected >= MIN_EXPECTED:
                until = now + max(1.0, self.duration_s)
                self._forecast = _Forecast(now, until, expected)
        elif now >= forecast.until:
            self._forecast = None
            if not forecast.hindered:
                ratio = min(1.0, max(MIN_CORRECTION, forecast.requests / forecast.expected))
                self._correction += CORRECTION_WEIGHT * (ratio - self._correction)

    def _end_idle(self, now: float) -> None:
        while self._live:
            ident, program = next(iter(self._live.items()))
            if now - program.last_at < IDLE_S:
                break
            del self._live[ident]
            self._ended[ident] = now
            if not program.hindered:
                self._learn(program)
        while self._ended:
            ident, ended_at = next(iter(self._ended.items()))
            if now - ended_at < KNOWN_S and len(self._ended) <= MAX_ENDED:
                break
            del self._ended[ident]

    def _learn(self, program: _Program) -> None:
        self._weight = min(MAX_WEIGHT, self._weight + 1)
        self.requests_each += (program.requests - self.requests_each) / self._weight
        duration_s = program.last_at - program.began_at
        self.duration_s += (duration_s - self.duration_s) / self._weight
