"""Which endpoints to trust: evidence, judged now and then, looked up at each choice.

The load this answers: endpoints that fail a part of their requests while they say
that they are well, that flap, turn slow or never answer. Requests and items tell what
became of them; a judgment compares the endpoints of each service ten times a second
at most; a choice only looks up what was found.
"""

from attrs import define, field

from ..telemetry import get_logger
from .evidence import EndpointEvidence, merge, take_alone
from .outcomes import Outcome, OutcomeWindow
from .outliers import find_outliers
from .paces import PeakEwma, compare_paces
from .sendings import Sending
from .silence import SilenceJudge
from .standing import EndpointStanding, Standing

__all__ = ["EndpointTrust"]

# Silence from which on an endpoint is suspected, and the least time that it takes.
SILENCE_LIMIT = 3.0
LEAST_SILENCE_SECONDS = 0.4
# How long an endpoint waits for a trial by an item before a request tries it, by
# whether it is silent and whether the request may run again elsewhere.
PATIENCE_SECONDS = {
    (False, True): 0.0,
    (False, False): 3.0,
    (True, True): 3.0,
    (True, False): 12.0,
}
log = get_logger("trust")


@define(eq=False)
class _Record:
    """What is known of one endpoint.

    Attributes
    ----------
    born : int
        Start of its process.
    waiting : set of Sending
        Those without an answer yet.
    first, pace : PeakEwma or None
        Time to an answer's beginning, and between its events.
    is_silent : bool
        Whether it was ejected for silence rather than for what it answered.
    """

    name = field()
    service = field()
    born = field()
    standing = field()
    window = field(factory=OutcomeWindow)
    waiting = field(factory=set)
    first = field(default=None)
    pace = field(default=None)
    is_silent = field(default=False)


class EndpointTrust:
    """Trust in endpoints, on one host.

    Parameters
    ----------
    clock : Clock
    list_heard : callable, optional
        Returns a list of ``{name: Evidence}`` that other hosts report.
    count_hosts : callable, optional
        Returns how many other hosts are heard.
    measure_load : callable, optional
        Returns how many requests and items run at an endpoint, by its name.
    """

    def __init__(
        self, clock, list_heard=list, count_hosts=int, measure_load=lambda name: 0
    ):
        self._measure_load = measure_load
        self._clock = clock
        self._list_heard = list_heard
        self._count_hosts = count_hosts
        self._records = {}
        self._silences = {}
        self._barred = frozenset()
        self._answering = frozenset()
        self._costs = {}
        self._paces = {}
        self._reported = {}
        self.trials = frozenset()

    def read_now(self):
        """Return the elapsed time in seconds."""
        return self._clock.read_elapsed()

    def begin(self, endpoint):
        """Return the `Sending` of a request or an item that is sent now."""
        record = self._find(endpoint)
        sending = Sending(self, endpoint, self.read_now())
        record.waiting.add(sending)
        if endpoint.name in self.trials:
            self.begin_trial(endpoint.name)
        return sending

    def had_room(self, endpoint):
        """Return whether an endpoint had a slot for what it refused just now."""
        return self._measure_load(endpoint.name) <= endpoint.slots

    def begin_trial(self, name):
        """Note that a request that is sent next is a trial."""
        record = self._records.get(name)
        if record is not None:
            record.standing.begin_trial(self.read_now())
            self.trials -= {name}

    def note_first(self, sending, seconds):
        """Note that an answer has begun after so many seconds."""
        record = self._records.get(sending.name)
        if record is None:
            return
        record.waiting.discard(sending)
        self._silences[record.service].note(seconds)
        if record.first is None:
            record.first = PeakEwma(seconds, self.read_now())
        else:
            record.first.note(seconds, self.read_now())

    def note_pace(self, name, seconds):
        """Note the mean time between an answer's events."""
        record = self._records.get(name)
        if record is None:
            return
        if record.pace is None:
            record.pace = PeakEwma(seconds, self.read_now())
        else:
            record.pace.note(seconds, self.read_now())

    def note_end(self, sending, outcome):
        """Note that a sending has ended; None if that tells nothing."""
        record = self._records.get(sending.name)
        if record is None:
            return
        record.waiting.discard(sending)
        # Silence that was held against the endpoint isn't counted twice.
        if outcome is not None and not (sending.overdue and outcome is Outcome.CUT):
            self._note(record, outcome)

    def is_barred(self, name):
        """Return whether an endpoint gets no work but trials."""
        return name in self._barred

    def may_get_request(self, name):
        """Return whether an endpoint gets requests beside trials."""
        return name not in self._barred

    def may_get_item(self, name):
        """Return whether an endpoint gets items, which may fail now and then."""
        return (
            name not in self._barred or name in self._answering or name in self.trials
        )

    def is_last_resort(self, name):
        """Return whether an ejected endpoint is better than none: it does answer."""
        return name in self._answering

    def measure_cost(self, name):
        """Return what a request costs there: 1, or more if it is slow or growing."""
        return self._costs.get(name, 1.0)

    def measure_pace(self, name):
        """Return how many times as long as usual work takes there: 1 at least."""
        return self._paces.get(name, 1.0)

    def may_try(self, name, repeatable=True):
        """Return whether an endpoint on trial may be tried by a request now."""
        if name not in self.trials:
            return False
        record = self._records[name]
        patience = PATIENCE_SECONDS[record.is_silent, repeatable]
        return record.standing.waits_since(self.read_now() - patience)

    def list_evidence(self):
        """Return ``{name: Evidence}`` for other hosts: endpoints that failed here."""
        return self._reported

    def list_barred(self):
        """Return the names of endpoints that get no work but trials."""
        return sorted(self._barred)

    def list_standings(self):
        """Return ``{name: Standing}`` of the endpoints that aren't fully trusted."""
        return {
            name: record.standing.standing
            for name, record in self._records.items()
            if record.standing.standing is not Standing.TRUSTED
        }

    def judge(self, endpoints):
        """Compare the endpoints; put what is found in force.

        Parameters
        ----------
        endpoints : iterable of FleetEndpoint
            All that are there.
        """
        services = {}
        for endpoint in endpoints:
            services.setdefault(endpoint.service, {})[endpoint.name] = endpoint
        known = {name for group in services.values() for name in group}
        for name in self._records.keys() - known:
            del self._records[name]
        now = self.read_now()
        self._note_overdue(now)
        heard, hosts = self._list_heard(), self._count_hosts()
        reported = {}
        for group in services.values():
            reported.update(self._judge_service(group, heard, hosts, now))
        self._reported = reported
        # Who saw the last failure tries first, and the others learn from that.
        failing = {name for found in heard for name, e in found.items() if e.bad}
        for name, record in self._records.items():
            self._update(record, now, name in failing)
        self._put_in_force(services.values(), now)

    def _judge_service(self, group, heard, hosts, now):
        """Eject outliers; return this host's evidence of those that failed."""
        records = {n: self._records[n] for n in group if n in self._records}
        own = {name: r.window.sum_up(now) for name, r in records.items()}
        if not heard and not any(found.bad for found in own.values()):
            return {}
        places = {name: endpoint.data_centre for name, endpoint in group.items()}
        own = EndpointEvidence(own, places)
        # An outlier by this host's evidence alone counts as much: the endpoint
        # may fail for some callers only.
        merged = {name: merge(name, own, heard, hosts) for name in group}
        alone = {name: take_alone(name, own, hosts) for name in group}
        barred = {name for name, r in records.items() if r.standing.is_barred}
        for found in (merged, alone):
            for name in find_outliers(found, places, barred):
                self._eject(group[name], found[name], now)
                barred.add(name)
        return {name: found for name, found in own.items() if found.bad}

    def _eject(self, endpoint, found, now):
        record = self._find(endpoint)
        record.standing.eject(now)
        record.is_silent = found.cut > found.failed
        log.info(
            "endpoint ejected",
            extra={
                "endpoint": endpoint.name,
                "answered": found.answered,
                "failed": found.failed,
                "cut": found.cut,
                "ejections": record.standing.ejections,
            },
        )

    def _put_in_force(self, groups, now):
        paces = {}
        for group in groups:
            records = {n: self._records[n] for n in group if n in self._records}
            for kind in ("first", "pace"):
                averages = {n: getattr(r, kind) for n, r in records.items()}
                averages = {n: a for n, a in averages.items() if a is not None}
                for name, cost in compare_paces(averages, now).items():
                    paces[name] = max(cost, paces.get(name, 1.0))
        costs = dict(paces)
        for name, record in self._records.items():
            weight = record.standing.measure_weight(now)
            if weight < 1:
                costs[name] = costs.get(name, 1.0) / weight
        standings = {n: record.standing for n, record in self._records.items()}
        self._costs = costs
        self._paces = paces
        self._barred = frozenset(n for n, s in standings.items() if s.is_barred)
        self._answering = frozenset(
            n for n in self._barred if not self._records[n].is_silent
        )
        self.trials = frozenset(n for n, s in standings.items() if s.may_try(now))

    def _update(self, record, now, is_held):
        before = record.standing.standing
        record.standing.update(now, is_held)
        if record.standing.standing is not before:
            self._note_change(record, before)

    def _note_overdue(self, now):
        """Hold silences against endpoints that are out of the ordinary."""
        for record in self._records.values():
            judge = self._silences[record.service]
            for sending in record.waiting:
                seconds = now - sending.began_at
                if sending.overdue or seconds < LEAST_SILENCE_SECONDS:
                    continue
                if judge.measure_suspicion(seconds) >= SILENCE_LIMIT:
                    sending.overdue = True
                    self._note(record, Outcome.CUT)

    def _note(self, record, outcome):
        now = self.read_now()
        record.window.note(outcome, now)
        before = record.standing.standing
        if outcome is Outcome.ANSWERED:
            record.standing.note_answer(now)
        else:
            record.standing.note_failure(now)
        if record.standing.standing is not before:
            self._note_change(record, before)

    def _note_change(self, record, before):
        """Start on new evidence, but leave that of an ejection to be reported."""
        if record.standing.standing is not Standing.EJECTED:
            record.window = OutcomeWindow()
        log.info(
            "endpoint's standing",
            extra={
                "endpoint": record.name,
                "standing": record.standing.standing.value,
                "before": before.value,
                "ejections": record.standing.ejections,
            },
        )

    def _find(self, endpoint):
        record = self._records.get(endpoint.name)
        if record is None or record.born != endpoint.start_time_ms:
            self._silences.setdefault(endpoint.service, SilenceJudge())
            standing = EndpointStanding(self.read_now())
            record = _Record(
                endpoint.name, endpoint.service, endpoint.start_time_ms, standing
            )
            self._records[endpoint.name] = record
        return record
