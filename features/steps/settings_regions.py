"""Steps of the regions in the file of a host on the platform."""

import orjson
from behave import given, then

from mangogauge.settings.problems import SettingsError
from mangogauge.settings.serving import read_serving

FILE = """\
[host]
name = h1
data_centre = a
address = 127.0.0.1
first_report_port = 7000
last_report_port = 7000
"""
STORE = "\n[store]\naddress = 127.0.0.1:7001\n"


def write_file(context, text):
    context.path = context.world.folder / "h1.ini"
    context.path.write_text(text)


@given('the file of a host with the regions "{lines}"')
@given('the file of a host with the regions ""')
def write_regions(context, lines=""):
    rows = "\n".join(lines.split("; "))
    write_file(context, f"{FILE}{STORE}\n[regions]\n{rows}\n")


@given('the file of a host without regions, with "{line}"')
def write_without(context, line):
    write_file(context, f"{FILE}{line}\n{STORE}")


@then("it is read as {result}")
def check_read(context, result):
    try:
        context.settings = read_serving(context.path)
    except SettingsError:
        assert result == "a mistake"
    else:
        assert context.settings.regions == orjson.loads(result), context.settings


@then("evacuations are not checked")
def check_off(context):
    assert not context.settings.checks_evacuations
    assert context.settings.checks_regions
