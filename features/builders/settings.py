"""Builders of settings files."""


def make_section(name, /, **options):
    """Return the text of one section."""
    lines = [f"{option} = {value}" for option, value in options.items()]
    return "\n".join([f"[{name}]", *lines, ""])


def make_base(
    endpoints=(),
    data_centres=("a", "b"),
    accounts=(("desk", 100, 100),),
    routes=(),
    extra="",
):
    """Return a base file's text.

    Parameters
    ----------
    endpoints : iterable of dict
        Each with a name, an address, a data_centre, a kind, and more.
    data_centres : iterable of str
    accounts : iterable of (str, float, float)
        Name, rate, burst.
    routes : iterable of dict
        More routes; those of the models are always there.
    extra : str
        Further text.
    """
    parts = [make_section(f"data_centre {name}") for name in data_centres]
    for name, rate, burst in accounts:
        parts.append(make_section(f"account {name}", rate=rate, burst=burst))
    parts.append(make_section("model small"))
    for name, path in (
        ("chat", "/v1/chat/completions"),
        ("completions", "/v1/completions"),
    ):
        parts.append(make_section(f"route {name}", path=path, kind="model"))
    for endpoint in endpoints:
        options = dict(endpoint)
        parts.append(make_section(f"endpoint {options.pop('name')}", **options))
    for route in routes:
        options = dict(route)
        parts.append(make_section(f"route {options.pop('name')}", **options))
    return "\n".join([*parts, extra])


def make_overlay(**sections):
    """Return an overlay's text: section name to dict of options."""
    return "\n".join(make_section(name, **opts) for name, opts in sections.items())


def make_host_file(
    name,
    data_centre,
    address,
    ports,
    platform,
    secret_file,
    seeds=(),
    caller_limits=None,
    host_list="",
    peer_options=None,
    **options,
):
    """Return a host file's text.

    `caller_limits` are the options of [callers], `peer_options` more of [peers].
    """
    callers, peer, operator = ports
    listed = {"host_list": host_list} if host_list else {}
    return "\n".join(
        [
            make_section(
                "host",
                name=name,
                data_centre=data_centre,
                address=address,
                callers_port=callers,
                peer_port=peer,
                operator_port=operator,
                **{"drain_seconds": 0.3, **options},
            ),
            make_section("platform", addresses=platform, timeout=1.0, **listed),
            make_section(
                "peers",
                secret_file=secret_file,
                seeds=", ".join(seeds),
                **(peer_options or {}),
            ),
            make_section("callers", **(caller_limits or {})),
        ]
    )
