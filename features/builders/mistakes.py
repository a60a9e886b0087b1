"""Settings without a mistake, and a way to put one in."""

from mangogauge.settings import (
    ConfigurationDocuments,
    SettingsError,
    read_fleet,
    read_host,
)

BASE = """
[data_centre west]
weight = 2
[data_centre east]
[limits]
slots = 16
[account desk]
rate = 20
burst = 40
[account shops]
rate = 10
burst = 10
[model small]
accounts = desk, shops
[route chat]
path = /v1/chat/completions
kind = model
deadline = 30
[route bookings]
path = /bookings/*
kind = service
endpoints = service-1
accounts = desk
methods = GET, POST
repeatable = GET
[route notices]
path = /notices/*
kind = service
endpoints = service-1
open = yes
[endpoint engine-1]
address = 192.0.2.1:9000
data_centre = west
kind = engine
models = small
slots = 32
[endpoint service-1]
address = 192.0.2.2:9000
data_centre = west
kind = service
"""
OVERLAYS = {"west": "", "east": "[account desk]\nrate = 30\n"}
HOST = """
[host]
name = w1
data_centre = west
address = 192.0.2.10
callers_port = 8080
peer_port = 8081
operator_port = 8082
drain_seconds = 5
[platform]
addresses = 192.0.2.3:2379
timeout = 1
[peers]
secret_file = SECRET
seeds = 192.0.2.11:8081
[callers]
head_bytes = 32768
"""


def find_problems(file, old, new, folder):
    """Return the problems found once `old` is replaced by `new` in `file`."""
    secret = folder / "secret"
    secret.write_text("a secret of the tests")
    texts = {"base.ini": BASE, "host.ini": HOST.replace("SECRET", str(secret))}
    texts |= {f"{name}.ini": text for name, text in OVERLAYS.items()}
    text = texts.get(file, "")
    assert old in text or not old, (file, old)
    texts[file] = text.replace(old, new, 1) if old else f"{text}\n{new}\n"
    if file == "host.ini":
        return _list_problems(_read_host_text, folder / file, texts[file])
    return _list_problems(_read_fleet_texts, texts)


def _list_problems(function, *arguments):
    try:
        function(*arguments)
    except SettingsError as error:
        return error.problems
    return []


def _read_host_text(path, text):
    path.write_text(text)
    read_host(path)


def _read_fleet_texts(texts):
    names = [n for n in texts if n not in ("base.ini", "host.ini")]
    overlays = {name.removesuffix(".ini"): texts[name] for name in names}
    read_fleet(ConfigurationDocuments(texts["base.ini"], overlays), "west")
