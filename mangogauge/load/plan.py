"""Plans of load, and the arrivals that follow from a plan and its seed."""

import enum
import math
import random
from pathlib import Path

from attrs import field, frozen

from ..settings import SettingsError
from ..settings.kinds import (
    AddressKind,
    ChoiceKind,
    FlagKind,
    IntegerKind,
    ListKind,
    NameKind,
    NumberKind,
    TextKind,
)
from ..settings.sections import SectionReader, make_option, parse_text

__all__ = [
    "Arrival",
    "ArrivalKind",
    "LoadAccount",
    "LoadPlan",
    "LoadSettings",
    "make_arrivals",
    "read_plan",
]

WORD_CHARACTERS = 4
PREFIX_TOKENS = 256
DAY_SECONDS = 86_400
BURST_PERIOD_SECONDS = 4.0
BURST_PART = 0.25
BURST_FACTOR = 3.0


class ArrivalKind(enum.Enum):
    """How requests of an account follow each other."""

    POISSON = "poisson"
    EVEN = "even"
    BURSTS = "bursts"


@frozen
class LoadSettings:
    """What holds for the whole load.

    Parameters
    ----------
    hosts : tuple of str
        Callers' ports, ``host:port``.
    seconds : float
        Length of the load.
    model, path : str
    prompt_tokens, output_tokens : int
        Medians; lengths are spread log-normally.
    length_spread : float
        Standard deviation of the lengths' logarithms; 0 for equal lengths.
    prefixes : int
        Number of prompt beginnings that requests share.
    prefix_share : float
        Part of the requests that begin with one of them.
    stream : bool
    deadline : float
        Seconds that a caller waits.
    host_skew : float
        0 spreads an account's requests evenly over hosts; 1 sends all to one.
    moving : float
        Seconds after which a skewed account turns to the next host; 0 for never.
    """

    hosts = make_option(ListKind(AddressKind()))
    seconds = make_option(NumberKind(0.1, DAY_SECONDS, "seconds"))
    model = make_option(NameKind(), default="small")
    path = make_option(TextKind(), default="/v1/chat/completions")
    prompt_tokens = make_option(IntegerKind(1, 100_000, "tokens"), default=64)
    output_tokens = make_option(IntegerKind(1, 100_000, "tokens"), default=16)
    length_spread = make_option(NumberKind(0, 3), default=0.6)
    prefixes = make_option(IntegerKind(1, 10_000), default=8)
    prefix_share = make_option(NumberKind(0, 1), default=0.5)
    stream = make_option(FlagKind(), default=True)
    deadline = make_option(NumberKind(0.1, DAY_SECONDS, "seconds"), default=30.0)
    host_skew = make_option(NumberKind(0, 1), default=0.0)
    moving = make_option(NumberKind(0, DAY_SECONDS, "seconds"), default=0.0)


@frozen
class LoadAccount:
    """What one client account sends.

    Parameters
    ----------
    name : str
    key : str
        Its key; empty to send none.
    rate : float
        Requests a second, on the mean.
    arrivals : ArrivalKind
    batch_jobs : int
        Jobs submitted at the start.
    batch_items : int
        Items in each job.
    """

    name = field()
    key = make_option(TextKind(), default="")
    rate = make_option(NumberKind(0, 100_000, "requests a second"), default=0.0)
    arrivals = make_option(ChoiceKind(ArrivalKind), default=ArrivalKind.POISSON)
    batch_jobs = make_option(IntegerKind(0, 10_000), default=0)
    batch_items = make_option(IntegerKind(1, 1_000_000), default=100)


@frozen
class LoadPlan:
    """Settings and accounts of one load."""

    settings = field()
    accounts = field(converter=tuple)


@frozen
class Arrival:
    """One request that is meant to start at `at` seconds."""

    at = field()
    account = field()
    host = field()
    prompt = field()
    max_tokens = field()


def read_plan(path):
    """Read an INI file with ``[load]`` and ``[account NAME]`` sections.

    Raises
    ------
    SettingsError
        With every mistake in it.
    """
    problems = []
    file = str(path)
    sections = parse_text(Path(path).read_text(), file, problems)
    reader = SectionReader(problems)
    settings = reader.read("load", sections.pop("load", {}), LoadSettings, file)
    accounts = []
    for section, options in sections.items():
        kind, _, name = section.partition(" ")
        if kind != "account":
            reader.check_section(file, section, ["load", "account"])
            continue
        account = reader.read(section, options, LoadAccount, file, name=name.strip())
        accounts.append(account)
    if problems:
        raise SettingsError(problems)
    return LoadPlan(settings, accounts)


def make_arrivals(plan, seed):
    """Return all arrivals in order of time; they depend on plan and seed alone."""
    arrivals = []
    for number, account in enumerate(plan.accounts):
        # Each account draws from its own source, so that changing one leaves
        # the requests of the others as they were.
        rng = random.Random(f"{seed}/{account.name}")
        times = TIMES[account.arrivals](account.rate, plan.settings.seconds, rng)
        for at in times:
            arrivals.append(_make_arrival(plan.settings, account, number, at, rng))
    return sorted(arrivals, key=lambda arrival: (arrival.at, arrival.account))


def _make_arrival(settings, account, number, at, rng):
    prompt_tokens = _draw_length(settings.prompt_tokens, settings, rng)
    words = [f"{rng.randrange(1000):03}" for _ in range(prompt_tokens)]
    if rng.random() < settings.prefix_share:
        prefix = f"{account.name}-{rng.randrange(settings.prefixes)} "
        words.insert(0, (prefix * PREFIX_TOKENS)[: PREFIX_TOKENS * WORD_CHARACTERS])
    return Arrival(
        at=at,
        account=account.name,
        host=_choose_host(settings, number, at, rng),
        prompt=" ".join(words),
        max_tokens=_draw_length(settings.output_tokens, settings, rng),
    )


def _draw_length(median, settings, rng):
    return max(1, round(median * math.exp(rng.gauss(0, settings.length_spread))))


def _choose_host(settings, number, at, rng):
    hosts = settings.hosts
    if rng.random() >= settings.host_skew:
        return rng.choice(hosts)
    moved = int(at / settings.moving) if settings.moving else 0
    return hosts[(number + moved) % len(hosts)]


def _make_poisson_times(rate, seconds, rng):
    times = []
    at = rng.expovariate(rate) if rate else seconds
    while at < seconds:
        times.append(at)
        at += rng.expovariate(rate)
    return times


def _make_even_times(rate, seconds, rng):
    start = rng.random()
    return [(i + start) / rate for i in range(math.floor(rate * seconds - start) + 1)]


def _make_burst_times(rate, seconds, rng):
    """Thin a Poisson process of the burst's rate outside the bursts."""
    low = (1 - BURST_PART * BURST_FACTOR) / (1 - BURST_PART)
    times = []
    for at in _make_poisson_times(rate * BURST_FACTOR, seconds, rng):
        in_burst = (at % BURST_PERIOD_SECONDS) < BURST_PART * BURST_PERIOD_SECONDS
        if in_burst or rng.random() < low / BURST_FACTOR:
            times.append(at)
    return times


TIMES = {
    ArrivalKind.POISSON: _make_poisson_times,
    ArrivalKind.EVEN: _make_even_times,
    ArrivalKind.BURSTS: _make_burst_times,
}
