"""What one host knows of the fleet, how it keeps up, and what it tells the others."""

import uuid

import curio

from ..backpressure import ColdBounds, ColdNews, EndpointLimiter, LimitNews, Takers
from ..fleet import (
    AbsenceChecker,
    ConfigurationConfirmation,
    EndpointDirectory,
    FleetMember,
    FleetState,
    IsolationDetector,
    MemberDirectory,
    MemberNews,
    Neighbours,
    OperatorListener,
    Registration,
    SilentHosts,
)
from ..placement import Eligibility, EndpointHealth, EvacuationMonitor
from ..quarantine import CrashNews, PartQuarantine, QuarantineRecord
from ..sharing import (
    ChangeNews,
    CopyNews,
    CrashLedger,
    Gossip,
    LimitExchange,
    RateExchange,
    ReportExchange,
    ReportTable,
    ReportTopology,
    SharedQuota,
    age_copies,
    sum_up,
)
from ..streams import (
    OriginFinder,
    StreamNews,
    StreamOrigins,
    StreamRecord,
    VersionConfirmation,
    VersionHistory,
    VersionRecord,
)
from ..supervision import keep_running
from ..telemetry import get_logger
from ..ticks import sleep_to_tick
from ..trust import EndpointRates, EndpointTrust, RateNews
from .storecopies import StoreCopies

__all__ = ["FleetView"]

# Least time between two reads of the hosts' entries, as a multiple of the interval of
# the copies: while all hosts are restarted, their list changes many times.
MEMBERS_LEAST_GAP_SHARE = 1.5
# Longest time that the first read of the hosts' entries waits for the registration.
REGISTRATION_SECONDS = 0.4
ISOLATION_SECONDS = 0.25
JUDGE_SECONDS = 0.15
QUOTA_SHARE_SECONDS = 0.1
# How often other hosts are told that this one leaves, since messages may be lost.
LEAVING_MESSAGES = 2

log = get_logger("host")


class FleetView:
    """One host's view of the fleet.

    Parameters
    ----------
    settings : ServingSettings
    backends : ServingBackends
    clock : Clock
    random : random.Random
    on_report : async callable
        Called with each report of another host, or summary of another data centre,
        after it was taken in.
    on_configuration : callable
        Called with each `Configuration` that comes into force.
    on_retirement : callable
        Called with each `RetirementRequest`.

    Attributes
    ----------
    member : FleetMember
        This host.
    neighbours : Neighbours
        The other hosts.
    confirmation : ConfigurationConfirmation
    isolated : bool
        Whether its data centre reaches nothing else.
    """

    def __init__(
        self,
        settings,
        backends,
        clock,
        random,
        on_report,
        on_configuration,
        on_retirement,
    ):
        self._settings = settings
        self._backends = backends
        self._clock = clock
        self._on_report = on_report
        self._registered = curio.Event()
        self.isolated = False
        incarnation = uuid.uuid4().hex[:12]
        self._make_sharing(incarnation, random)
        self._make_copies(on_configuration, on_retirement)
        self._isolation = IsolationDetector(
            self.members,
            self.board,
            settings.data_centre,
            self._measure_age,
        )
        self._make_streams()
        self._quarantine_record = QuarantineRecord(
            backends.store, self.part_quarantine, self.neighbours.is_first, clock
        )
        self.registration = Registration(
            backends.store,
            self.member,
            clock,
            settings.store.lease_seconds,
            self._note_registered,
        )

    @property
    def claimant(self):
        """The name under which this process claims work."""
        return f"{self.member.name}#{self.member.incarnation}"

    def _make_sharing(self, incarnation, random):
        settings, clock = self._settings, self._clock
        self.health = EndpointHealth(clock)
        self.quota = SharedQuota(clock, random)
        self._quota_share_at = float("-inf")
        self.crash_ledger = CrashLedger(clock)
        self.part_quarantine = PartQuarantine(clock)
        self.board = ReportTable(settings.name, incarnation, clock)
        self._rates = None
        if settings.compares_rates:
            self._rates = EndpointRates(settings.name, clock, random)
        self.trust = EndpointTrust(
            clock,
            self.board.list_failures,
            self.board.count_reporting_hosts,
            lambda name: self.board.measure(name).total,
            self.health.note_silence,
            self.health.is_path_doubtful,
            lambda name: self.limiter.cold.is_cold(name),
            self._rates,
        )
        self.members = MemberDirectory(FleetMember(settings.name, incarnation), clock)
        self.neighbours = Neighbours(self.members, self.board)
        self._copies = StoreCopies(
            self._backends.feed,
            settings.name,
            incarnation,
            self.neighbours,
            self.notify,
            lambda: self._topology.is_direct,
            lambda data, addresses: self._exchange.send(data, addresses),
            clock,
            random,
            self._count_read,
            settings.shared_reads,
        )
        self._topology = ReportTopology(self.members, self.board, random)
        self._exchange = ReportExchange(
            self.board,
            self.members,
            self._topology,
            clock,
            self._make_report,
            self._make_summary,
            self._take_report,
            self._take_summary,
            {
                CrashNews: self._take_crash_news,
                StreamNews: self._take_stream_news,
                LimitNews: self._take_limit_news,
                ColdNews: self._take_cold_news,
                CopyNews: self._copies.take_copies,
                ChangeNews: self._copies.take_changes,
                RateNews: self._take_rate_news,
                MemberNews: self._take_member_news,
            },
        )
        self._silent_hosts = SilentHosts(self.members, clock)
        self._member_gossip = Gossip(
            self._silent_hosts.make_news,
            self.neighbours.list_addresses,
            self._exchange.send,
            random,
        )
        self._crash_gossip = Gossip(
            self.part_quarantine.make_news,
            self.neighbours.list_addresses,
            self._exchange.send,
            random,
        )
        self.limiter = EndpointLimiter(
            Takers(self.members, lambda: self._topology.is_direct),
            self.board,
            incarnation,
            clock,
            random,
            _make_cold_bounds(settings.cold),
        )
        self._limit_exchange = LimitExchange(
            self.limiter,
            self.members,
            self._exchange.send,
            lambda: self.directory.list_endpoints(),
            random,
        )
        self._rate_exchange = RateExchange(
            self._rates,
            self.neighbours.list_addresses,
            self._exchange.send,
            random,
        )
        ports = range(settings.first_report_port, settings.last_report_port + 1)
        self._exchange.bind(settings.address, ports)
        self.member = self.members.own = FleetMember(
            settings.name,
            incarnation,
            settings.data_centre,
            f"{settings.address}:{self._exchange.port}",
            settings.serves_callers,
            settings.runs_batch,
        )

    def _make_copies(self, on_configuration, on_retirement):
        source = self._backends.source
        self.directory = EndpointDirectory(
            source.read_endpoint,
            source.parse_endpoint_name,
            self._clock,
            self.limiter.note_entry,
        )
        self.state = FleetState(
            self.directory,
            self.members,
            self.board,
            self._measure_age,
            self._silent_hosts,
        )
        regions = self._settings.regions if self._settings.checks_regions else None
        self.eligibility = Eligibility(self.directory, regions)
        self._evacuations = EvacuationMonitor(
            self.eligibility, self.directory, self.members
        )

        def apply_configuration(configuration):
            self.limiter.set_services(configuration.services)
            on_configuration(configuration)

        orders = OperatorListener(
            source,
            self.state,
            apply_configuration,
            on_retirement,
            self._take_evacuations,
        )
        self.confirmation = ConfigurationConfirmation(
            self._backends.feed,
            source.operator_prefix,
            orders,
            AbsenceChecker(self._measure_age, self._clock),
            self._clock,
        )
        self._copies.follow_shared(source.operator_prefix, orders)
        self._copies.follow_shared(source.endpoints_prefix, self.directory)
        self._copies.follow_shared(
            self.members.prefix,
            self.members,
            self._wait_for_registration,
            least_gap=MEMBERS_LEAST_GAP_SHARE,
        )

    def _take_evacuations(self, data_centres):
        if self._settings.checks_evacuations:
            self.eligibility.apply_evacuations(data_centres)

    def _make_streams(self):
        backends, clock = self._backends, self._clock
        prefix = backends.source.endpoints_prefix
        self.origins = StreamOrigins(clock)
        history = self._version_history = VersionHistory(
            self.directory.list_endpoints,
            lambda: self._copies.freshness.measure_age(prefix),
            lambda: self._copies.freshness.measure_newer_age(prefix),
            clock,
        )
        self._stream_record = StreamRecord(
            backends.store,
            backends.feed,
            self.origins,
            history,
            self.state.list_resumable_services,
            self.claimant,
            self.neighbours.count_hosts,
            self.neighbours.list_near_addresses,
            self._exchange.send,
            clock,
        )
        self._version_record = VersionRecord(
            backends.store, history, self.neighbours.is_first
        )
        confirmation = VersionConfirmation(
            backends.feed,
            prefix,
            backends.source.read_endpoint,
            self.directory.add_endpoints,
            history,
            self._version_record,
            clock,
        )
        self.streams = OriginFinder(
            self.origins,
            history,
            self._stream_record,
            confirmation,
            self.directory.get,
            clock,
        )

    def follow(self, prefix, listener, pause_seconds):
        """Keep a copy by waiting at the store for changes; return its `Follower`."""
        return self._copies.follow_waiting(prefix, listener, pause_seconds)

    def follow_work(self, prefix, listener):
        """Keep a copy of open jobs in turn with the other runners: a `SharedWork`."""
        return self._copies.follow_work(prefix, listener, self.member)

    def list_store_relays(self):
        """Return addresses of hosts that may pass on calls to the store.

        Notes
        -----
        Calls hold the bodies of jobs. Where the configuration restricts work to
        regions, they go by way of hosts of this host's own region only.
        """
        list_relays = self.neighbours.list_relays
        if self.state.routes is None or not self.state.routes.restricts_regions:
            return list_relays()
        return list_relays(self._is_in_own_region)

    def _is_in_own_region(self, member):
        own = self.member.data_centre
        return self.eligibility.is_same_region(own, member.data_centre)

    async def notify(self):
        """Tell the other hosts soon what has changed here."""
        await self._exchange.note_change()
        await self._limit_exchange.note_change()

    async def notify_crash(self):
        """Tell the other hosts soon what is new here about crashes of endpoints."""
        await self._exchange.note_change()
        await self._crash_gossip.note_change()

    async def note_limit(self, endpoint, rate, asked_at):
        """Note what an endpoint's answer says of its limit."""
        if self.limiter.note_answer(endpoint, rate, asked_at):
            await self._limit_exchange.note_news()

    async def leave(self):
        """Tell all hosts that this one has ended its work, and deregister it."""
        news = self._silent_hosts.note_leaving().to_bytes()
        for _ in range(LEAVING_MESSAGES):
            await self._exchange.send(news, self.neighbours.list_addresses())
        await self.registration.leave()

    async def run(self):
        """Keep up with the fleet until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await self._copies.start(group)
            for run in (
                self.registration.run,
                self._exchange.run,
                self._crash_gossip.run,
                self._member_gossip.run,
                self._limit_exchange.run,
                self._quarantine_record.run,
                self._stream_record.run,
                self._version_record.run,
                self._watch_isolation,
                self._judge_endpoints,
                self._rate_exchange.run,
            ):
                await group.spawn(keep_running, run.__qualname__, run)
        if group.exception is not None:
            raise group.exception

    def _count_read(self, prefix, outcome):
        self._backends.metrics.copies_read.labels(prefix, outcome).inc()

    async def _note_registered(self):
        await self._registered.set()
        await self._copies.request_read(self.members.prefix)

    async def _wait_for_registration(self):
        """Wait until this host is registered, for a limited time.

        Notes
        -----
        The hosts' entries have to be read after that in any case.
        """
        async with curio.ignore_after(REGISTRATION_SECONDS):
            await self._registered.wait()

    def _measure_age(self):
        """Return the seconds since a host that this one hears reached the store."""
        return self._copies.freshness.measure_age(self._backends.source.operator_prefix)

    async def _judge_endpoints(self):
        while True:
            await sleep_to_tick(JUDGE_SECONDS)
            endpoints = self.directory.list_endpoints()
            self.trust.evaluate(endpoints)
            self.limiter.update_cold()
            await self._limit_exchange.note_cold()
            self.limiter.cold.remove_old(endpoint.name for endpoint in endpoints)
            self._evacuations.evaluate()
            if self._silent_hosts.take_change():
                await self._member_gossip.note_change()
            self._export_metrics()

    def _export_metrics(self):
        metrics = self._backends.metrics
        metrics.endpoints_barred.set(len(self.trust.list_barred()))
        metrics.endpoints_indirect.set(len(self.health.list_unreachable()))
        metrics.endpoints_limited.set(len(self.limiter.limits.list_limited()))
        metrics.endpoints_cold.set(len(self.limiter.cold.list_cold()))
        metrics.endpoints_slower.set(len(self.trust.list_slower()))
        metrics.parts_quarantined.set(len(self.part_quarantine.list_quarantined()))
        metrics.data_centres_evacuated.set(len(self.eligibility.evacuated))
        reasons = self.eligibility.count_reasons(self.directory.list_endpoints())
        metrics.note_ineligible(reasons)

    async def _watch_isolation(self):
        while True:
            await sleep_to_tick(ISOLATION_SECONDS)
            isolated = self._isolation.is_isolated()
            if isolated is not self.isolated:
                self.isolated = isolated
                log.warning(
                    "isolation",
                    extra={
                        "isolated": isolated,
                        "hosts_heard": self.board.count_reporting_hosts(),
                        "age": self._measure_age(),
                    },
                )

    def _make_report(self):
        return self._report(*self.quota.count_recent())

    def _report(self, admitted, admitted_complete):
        return self.board.make_report(
            admitted,
            self.health.list_unhealthy(),
            self._copies.freshness.make_report(),
            reaches_store=self._backends.transport.reach.is_recent,
            crashes=self.crash_ledger.count_own(),
            departures=self.directory.list_leaving(),
            admitted_complete=admitted_complete,
            failures=self.trust.list_evidence(),
        )

    def _make_summary(self):
        near = [
            age_copies(report, age)
            for report, age in self.board.list_recent_reports()
            if self._topology.is_in_own_data_centre(report.host)
        ]
        return sum_up(
            self.member.data_centre,
            # Admissions are told for all hosts together.
            self._report({}, False),
            near,
            self.quota.count_known(),
            self._topology.is_runner,
        )

    async def _take_report(self, report):
        await self._take_news(report)
        self._update_quota_share()
        if self.state.routes is not None:
            self.quota.merge_report(report, self.state.routes)
        await self._on_report(report)

    def _update_quota_share(self):
        """Update the quota's share at intervals, since it counts all hosts."""
        now = self._clock.read_elapsed()
        if now >= self._quota_share_at + QUOTA_SHARE_SECONDS:
            self._quota_share_at = now
            self.quota.set_reporting(*self.state.compute_quota_share())

    async def _take_summary(self, summary):
        await self._take_news(summary.totals)
        self._update_quota_share()
        if self.state.routes is not None:
            self.quota.merge_totals(summary.totals, self.state.routes)
        await self._on_report(summary)

    async def _take_crash_news(self, news):
        if self.part_quarantine.merge(news):
            await self._crash_gossip.note_change()

    async def _take_member_news(self, news):
        if self._silent_hosts.merge(news):
            await self._member_gossip.note_change()

    async def _take_limit_news(self, news):
        if self.limiter.merge(news):
            await self._limit_exchange.note_news()

    async def _take_cold_news(self, news):
        self.limiter.merge_cold(news)
        await self._limit_exchange.note_cold()

    async def _take_rate_news(self, news):
        if self._rates is not None:
            self._rates.merge(news)

    async def _take_stream_news(self, news):
        self.origins.merge(news)
        self._version_history.add(news.streams)

    async def _take_news(self, report):
        """Merge what a host's report and a data centre's totals both contain."""
        self.crash_ledger.merge_counts(report.host, report.crashes)
        self.directory.merge_leaving(report.departures, report.host)
        await self._copies.take_copies(report)


def _make_cold_bounds(settings):
    """Return the `ColdBounds` of `ColdSettings`; None if there are none."""
    if not settings.is_bounded:
        return None
    return ColdBounds(settings.over, settings.slack)
