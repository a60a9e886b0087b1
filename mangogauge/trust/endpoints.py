"""Trust in endpoints, evaluated periodically from the outcomes of requests.

Endpoints may fail a part of their requests while they report to be healthy, flap,
become slow, or never answer. Requests and items record their outcomes; an evaluation
compares the endpoints of each service at most ten times a second; a choice of an
endpoint only looks up the results.
"""

from attrs import define, field

from ..telemetry import get_logger
from .attempts import AttemptObserver
from .ejection import EjectionState, EndpointEjection
from .evidence import EndpointEvidence, drop_cuts, get_own_evidence, merge
from .outcomes import Outcome, OutcomeWindow
from .outliers import find_outliers
from .silence import SilenceDetector
from .slowdowns import PeakEwma, compute_slowdowns

__all__ = ["EndpointTrust"]

# φ from which a silence counts against an endpoint, and its minimum duration.
SILENCE_PHI_LIMIT = 3.0
MIN_SILENCE_SECONDS = 0.4
# Minimum duration at an endpoint whose slots are all in use, where a request waits
# for one of them.
MIN_SILENCE_WHEN_FULL_SECONDS = 1.2
# Minimum duration at a cold endpoint, which is slower than the others.
MIN_SILENCE_WHEN_COLD_SECONDS = 2.4
# Delay before a request may be a trial of an endpoint; until then only items are. By
# whether the endpoint is silent, and whether the request can be retried elsewhere.
REQUEST_TRIAL_DELAY_SECONDS = {
    (False, True): 0.0,
    (False, False): 3.0,
    (True, True): 3.0,
    (True, False): 12.0,
}
# Largest reported load, as a share of the slots, at which a refusal is a failure.
MAX_LOAD_SHARE_AT_REFUSAL = 0.5

log = get_logger("trust")


@define(eq=False)
class _EndpointRecord:
    """Observations of one endpoint.

    Attributes
    ----------
    start_time_ms : int
        Start of its process, in milliseconds since the Unix epoch.
    waiting : set of AttemptObserver
        Attempts without an answer yet.
    first, pace : PeakEwma or None
        Average times until an answer begins, and between its events.
    is_silent : bool
        Whether it was ejected for cuts rather than for failures.
    """

    name = field()
    service = field()
    start_time_ms = field()
    ejection = field()
    window = field(factory=OutcomeWindow)
    waiting = field(factory=set)
    first = field(default=None)
    pace = field(default=None)
    is_silent = field(default=False)


class EndpointTrust:
    """Trust of one host in the endpoints.

    Parameters
    ----------
    clock : Clock
    list_peer_evidence : callable, optional
        Returns a list of ``{name: Evidence}``, one for each peer's report and each
        data centre's totals that contain failures.
    count_peers : callable, optional
        Returns the number of other hosts that have reported, or been named in a
        data centre's summary, recently.
    measure_load : callable, optional
        Returns how many requests and items run at an endpoint, given its name.
    on_silence : callable, optional
        Called with the name of an endpoint whose answer is overdue.
    is_path_doubtful : callable, optional
        Returns whether cuts of an endpoint, given its name, may be the fault of this
        host's path to it; they aren't told to peers then.
    is_cold : callable, optional
        Returns whether an endpoint, given its name, is cold: its slowness is expected
        and counts neither against it nor in the statistics of its service.
    rates : EndpointRates, optional
        None if endpoints' long-term rates are not compared.
    """

    def __init__(
        self,
        clock,
        list_peer_evidence=list,
        count_peers=int,
        measure_load=lambda name: 0,
        on_silence=lambda name: None,
        is_path_doubtful=lambda name: False,
        is_cold=lambda name: False,
        rates=None,
    ):
        self._is_cold = is_cold
        self._rates = rates
        self._is_path_doubtful = is_path_doubtful
        self.measure_load = measure_load
        self._on_silence = on_silence
        self._clock = clock
        self._list_peer_evidence = list_peer_evidence
        self._count_peers = count_peers
        self._records = {}
        self._silence_detectors = {}
        self._barred = frozenset()
        self._responding = frozenset()
        self._costs = {}
        self._slowdowns = {}
        self._rate_costs = {}
        self._reported = {}
        self.trials = frozenset()

    def read_now(self):
        """Return the elapsed time in seconds."""
        return self._clock.read_elapsed()

    def begin(self, endpoint):
        """Return an `AttemptObserver` for a request or an item that is sent now."""
        record = self._find(endpoint)
        attempt = AttemptObserver(self, endpoint, self.read_now())
        record.waiting.add(attempt)
        if endpoint.name in self.trials:
            self.begin_trial(endpoint.name)
        return attempt

    def has_free_slot(self, endpoint):
        """Return whether an endpoint that has just refused certainly had a free slot.

        Notes
        -----
        At the beginning of a burst the other hosts' latest requests are not reported
        yet, so an endpoint may be full although the reports show some free slots.
        """
        load = self.measure_load(endpoint.name)
        return load <= endpoint.slots * MAX_LOAD_SHARE_AT_REFUSAL

    def excuses_silence(self, name, seconds):
        """Return whether an attempt that ends after a silence is no evidence.

        Notes
        -----
        A request leaves an endpoint that is silent for some times its objective, which
        ends the connection. A cold endpoint is slower than that; one that crashes ends
        its connections without a silence as a rule.
        """
        is_short = seconds < MIN_SILENCE_WHEN_COLD_SECONDS
        return MIN_SILENCE_SECONDS <= seconds and is_short and self._is_cold(name)

    def begin_trial(self, name):
        """Record that the next request to an endpoint is a trial."""
        record = self._records.get(name)
        if record is not None:
            record.ejection.begin_trial(self.read_now())
            self.trials -= {name}

    def note_first_response(self, attempt, seconds):
        """Record that an answer began after `seconds`."""
        record = self._records.get(attempt.name)
        if record is None:
            return
        record.waiting.discard(attempt)
        if self._is_cold(attempt.name):
            return
        self._silence_detectors[record.service].note(seconds)
        if record.first is None:
            record.first = PeakEwma(seconds, self.read_now())
        else:
            record.first.note(seconds, self.read_now())

    def note_event_interval(self, endpoint, seconds, running):
        """Record the mean time between an answer's events.

        Parameters
        ----------
        endpoint : FleetEndpoint
        seconds : float
        running : float
            Mean number of requests and items that ran at the endpoint meanwhile.
        """
        record = self._records.get(endpoint.name)
        if record is None or self._is_cold(endpoint.name):
            return
        if self._rates is not None:
            self._rates.note(endpoint, seconds, running)
        if record.pace is None:
            record.pace = PeakEwma(seconds, self.read_now())
        else:
            record.pace.note(seconds, self.read_now())

    def note_end(self, attempt, outcome):
        """Record the `Outcome` of an attempt; None if it is no evidence."""
        record = self._records.get(attempt.name)
        if record is None:
            return
        record.waiting.discard(attempt)
        # A silence that was already counted isn't counted again as a cut.
        if outcome is not None and not (attempt.overdue and outcome is Outcome.CUT):
            self._record_outcome(record, outcome)

    def forgive_cuts(self, name):
        """Forget the cuts of an endpoint: only this host's path to it has failed."""
        record = self._records.get(name)
        if record is None:
            return
        record.window.forget(Outcome.CUT)
        if record.is_silent and record.ejection.is_barred:
            record.ejection.restore(self.read_now())
            self._barred -= {name}

    def is_barred(self, name):
        """Return whether an endpoint gets no work except trials."""
        return name in self._barred

    def accepts_requests(self, name):
        """Return whether an endpoint gets requests other than trials."""
        return name not in self._barred

    def accepts_items(self, name):
        """Return whether an endpoint gets items, for which failures are tolerable."""
        return (
            name not in self._barred or name in self._responding or name in self.trials
        )

    def is_fallback(self, name):
        """Return whether an ejected endpoint still responds, so may be a fallback."""
        return name in self._responding

    def get_cost(self, name):
        """Return the relative cost of a request: above 1 if slow or in slow start."""
        return self._costs.get(name, 1.0)

    def get_slowdown(self, name):
        """Return the factor, at least 1, by which work takes longer than usual."""
        return self._slowdowns.get(name, 1.0)

    def get_rate_cost(self, name):
        """Return the factor, at least 1, by which work always takes longer there."""
        return self._rate_costs.get(name, 1.0)

    def list_slower(self):
        """Return ``{name: float}`` of endpoints whose long-term rate is lower."""
        return self._rate_costs

    def is_ready_for_trial(self, name, repeatable=True):
        """Return whether a request may be a trial of the endpoint now."""
        if name not in self.trials:
            return False
        record = self._records[name]
        delay = REQUEST_TRIAL_DELAY_SECONDS[record.is_silent, repeatable]
        return record.ejection.has_been_in_state_since(self.read_now() - delay)

    def list_evidence(self):
        """Return this host's ``{name: Evidence}`` of failed endpoints, for peers."""
        return self._reported

    def list_barred(self):
        """Return the names of endpoints that get no work except trials."""
        return sorted(self._barred)

    def list_states(self):
        """Return ``{name: EjectionState}`` of endpoints not fully trusted."""
        return {
            name: record.ejection.state
            for name, record in self._records.items()
            if record.ejection.state is not EjectionState.TRUSTED
        }

    def evaluate(self, endpoints):
        """Compare the endpoints and apply the results.

        Parameters
        ----------
        endpoints : iterable of FleetEndpoint
            All existing endpoints; the others are forgotten.
        """
        services = {}
        for endpoint in endpoints:
            services.setdefault(endpoint.service, {})[endpoint.name] = endpoint
        present = {name: e for group in services.values() for name, e in group.items()}
        if self._rates is not None:
            self._rates.remove_old(present)
        for name in self._records.keys() - present.keys():
            del self._records[name]
        now = self.read_now()
        self._record_silences(now)
        reports, peers = self._list_peer_evidence(), self._count_peers()
        reported = {}
        for group in services.values():
            reported.update(self._evaluate_service(group, reports, peers, now))
        self._reported = reported
        # A host starts no trial of an endpoint while peers report its failures, so that
        # the host with the latest failure runs the first trial.
        failing = {
            name for evidence in reports for name, e in evidence.items() if e.bad
        }
        for name, record in self._records.items():
            self._update(record, now, name in failing)
        self._publish_results(services.values(), now)

    def _evaluate_service(self, group, reports, peers, now):
        """Eject outliers; return this host's evidence of those that failed."""
        records = {n: self._records[n] for n in group if n in self._records}
        own = {name: r.window.sum_up(now) for name, r in records.items()}
        if not reports and not any(evidence.bad for evidence in own.values()):
            return {}
        data_centres = {name: endpoint.data_centre for name, endpoint in group.items()}
        own = EndpointEvidence(own, data_centres)
        # An outlier by this host's evidence alone is ejected too, since the endpoint
        # may fail for some callers only.
        merged = {name: merge(name, own, reports, peers) for name in group}
        own_only = {name: get_own_evidence(name, own, peers) for name in group}
        barred = {name for name, r in records.items() if r.ejection.is_barred}
        for evidence in (merged, own_only):
            for name in find_outliers(evidence, data_centres, barred):
                self._eject(group[name], evidence[name], now)
                barred.add(name)
        told = {name: self._drop_doubtful(name, found) for name, found in own.items()}
        return {name: evidence for name, evidence in told.items() if evidence.bad}

    def _drop_doubtful(self, name, evidence):
        """Return the evidence of an endpoint without cuts that its path may explain."""
        return drop_cuts(evidence) if self._is_path_doubtful(name) else evidence

    def _eject(self, endpoint, evidence, now):
        record = self._find(endpoint)
        record.ejection.eject(now)
        record.is_silent = evidence.cut > evidence.failed
        log.info(
            "endpoint ejected",
            extra={
                "endpoint": endpoint.name,
                "answered": evidence.answered,
                "failed": evidence.failed,
                "cut": evidence.cut,
                "ejections": record.ejection.ejections,
            },
        )

    def _publish_results(self, groups, now):
        slowdowns, rate_costs = {}, {}
        for group in groups:
            if self._rates is not None:
                rate_costs.update(self._rates.compute_costs(group))
            records = {n: self._records[n] for n in group if n in self._records}
            for kind in ("first", "pace"):
                averages = {n: getattr(r, kind) for n, r in records.items()}
                averages = {n: a for n, a in averages.items() if a is not None}
                for name, cost in compute_slowdowns(averages, now).items():
                    slowdowns[name] = max(cost, slowdowns.get(name, 1.0))
        costs = dict(slowdowns)
        for name, record in self._records.items():
            weight = record.ejection.compute_weight(now)
            if weight < 1:
                costs[name] = costs.get(name, 1.0) / weight
        by_name = {n: record.ejection for n, record in self._records.items()}
        self._costs = costs
        self._slowdowns = slowdowns
        self._rate_costs = rate_costs
        self._barred = frozenset(n for n, s in by_name.items() if s.is_barred)
        self._responding = frozenset(
            n for n in self._barred if not self._records[n].is_silent
        )
        self.trials = frozenset(
            n for n, s in by_name.items() if s.is_ready_for_trial(now)
        )

    def _update(self, record, now, stays_ejected):
        previous = record.ejection.state
        record.ejection.update(now, stays_ejected)
        if record.ejection.state is not previous:
            self._note_change(record, previous)

    def _record_silences(self, now):
        """Count unusually long silences as cuts."""
        for record in self._records.values():
            detector = self._silence_detectors[record.service]
            for attempt in record.waiting:
                seconds = now - attempt.began_at
                if attempt.overdue or seconds < self._find_min_silence(attempt):
                    continue
                if detector.measure_suspicion(seconds) >= SILENCE_PHI_LIMIT:
                    attempt.overdue = True
                    self._record_outcome(record, Outcome.CUT)
                    self._on_silence(record.name)

    def _find_min_silence(self, attempt):
        """Return the seconds below which no silence counts against its endpoint."""
        if self._is_cold(attempt.name):
            return MIN_SILENCE_WHEN_COLD_SECONDS
        if self.measure_load(attempt.name) < attempt.endpoint.slots:
            return MIN_SILENCE_SECONDS
        return MIN_SILENCE_WHEN_FULL_SECONDS

    def _record_outcome(self, record, outcome):
        now = self.read_now()
        record.window.note(outcome, now)
        previous = record.ejection.state
        if outcome is Outcome.ANSWERED:
            record.ejection.note_answer(now)
        else:
            record.ejection.note_failure(now)
        if record.ejection.state is not previous:
            self._note_change(record, previous)

    def _note_change(self, record, previous):
        """Log a change of state and reset the evidence.

        The evidence of an ejection is kept to be reported to other hosts.
        """
        if record.ejection.state is not EjectionState.EJECTED:
            record.window = OutcomeWindow()
        log.info(
            "endpoint's standing",
            extra={
                "endpoint": record.name,
                "standing": record.ejection.state.value,
                "before": previous.value,
                "ejections": record.ejection.ejections,
            },
        )

    def _find(self, endpoint):
        record = self._records.get(endpoint.name)
        if record is None or record.start_time_ms != endpoint.start_time_ms:
            self._silence_detectors.setdefault(endpoint.service, SilenceDetector())
            ejection = EndpointEjection(self.read_now())
            record = _EndpointRecord(
                endpoint.name, endpoint.service, endpoint.start_time_ms, ejection
            )
            self._records[endpoint.name] = record
        return record
