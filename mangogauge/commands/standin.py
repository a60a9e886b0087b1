"""``mangogauge standin``: run stand-ins for what lies outside."""

import curio
from cyclopts import App

from ..standins import Engine, EngineOptions, FaultProxy, Link, PlatformServer, Service
from .output import print_json

__all__ = ["app"]

app = App(name="standin", help="Run stand-ins for platform, engine and service.")

LOOPBACK = "127.0.0.1"


@app.command
def platform(*, address: str = LOOPBACK, port: int = 0):
    """Run a stand-in for the platform's store.

    Parameters
    ----------
    address
        IP number to listen on.
    port
        Port; 0 for any free one.
    """
    curio.run(_run_server, PlatformServer().server, address, port)


@app.command
def engine(
    *,
    address: str = LOOPBACK,
    port: int = 0,
    models: str = "small",
    slots: int = 32,
    step_seconds: float = 0.004,
    load_lag: float = 1.0,
    fencing: bool = True,
):
    """Run a stand-in for a model engine.

    Parameters
    ----------
    address
        IP number to listen on.
    port
        Port; 0 for any free one.
    models
        Names of models, separated by commas.
    slots
        Requests that run at once.
    step_seconds
        Time of one batching step with one request.
    load_lag
        Age of the load report in seconds.
    fencing
        Whether orders with an old fencing number are refused.
    """
    options = EngineOptions(
        models=models.split(","),
        slots=slots,
        step_seconds=step_seconds,
        load_lag=load_lag,
        fencing=fencing,
    )
    running = Engine(options)
    curio.run(_run_server, running.server, address, port, running.run_steps)


@app.command
def service(*, address: str = LOOPBACK, port: int = 0):
    """Run a stand-in for a plain service.

    Parameters
    ----------
    address
        IP number to listen on.
    port
        Port; 0 for any free one.
    """
    curio.run(_run_server, Service().server, address, port)


@app.command
def proxy(*links: str, address: str = LOOPBACK, port: int = 0, seed: int = 0):
    """Run a fault-injecting proxy.

    Parameters
    ----------
    links
        Each NAME=LISTEN=TARGET, with LISTEN and TARGET as host:port.
    address
        IP number of the control port.
    port
        Control port; 0 for any free one.
    seed
        Seed of the jitter.
    """
    curio.run(_run_proxy, links, address, port, seed)


async def _run_server(server, address, port, *tasks):
    server.bind(address, port)
    print_json({"port": server.port})
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(server.serve)
        for task in tasks:
            await group.spawn(task)
    if group.exception is not None:
        raise group.exception


async def _run_proxy(links, address, port, seed):
    made = [Link(*text.split("="), seed=seed) for text in links]
    running = FaultProxy(made)
    running.server.bind(address, port)
    print_json({"port": running.server.port})
    await running.serve()
