"""Steps of TLS."""

import http.client
import os
import socket
import ssl
import subprocess
import sys

import orjson
from behave import given, then, when

from features.builders import wait_until
from features.builders.certificates import Authority
from features.builders.wire import make_request
from features.steps.gateway import chat_body


def make_peer_options(context, name):
    certificate, key = context.authority.certify(name, context.world.address)
    return {
        "tls_certificate": certificate,
        "tls_key": key,
        "tls_authorities": context.authority.path,
    }


def make_context(context, trusted=True):
    cafile = str(context.authority.path) if trusted else None
    return ssl.create_default_context(cafile=cafile)


def open_tls(context, number=0, host="a1", tls=None):
    address = (context.world.address, context.world.hosts[host][number])
    sock = socket.create_connection(address, timeout=60)
    tls = tls or make_context(context)
    return tls.wrap_socket(sock, server_hostname=context.world.address)


@given("a host with TLS on its callers' port")
def start_tls_host(context):
    context.execute_steps(
        "Given a platform, an engine in each data centre, and a service"
    )
    context.authority = Authority(context.world.folder)
    certificate, key = context.authority.certify("callers", context.world.address)
    options = {"tls_certificate": certificate, "tls_key": key}
    context.world.start_host("a1", "a", caller_limits=options)
    context.key = context.world.grant_key()


def ask(context, connection, target="/v1/models", body=None):
    headers = {"Authorization": f"Bearer {context.key}"}
    connection.request("POST" if body else "GET", target, body, headers)
    response = connection.getresponse()
    return response.status, response.read()


def connect(context):
    return http.client.HTTPSConnection(
        context.world.address,
        context.world.hosts["a1"][0],
        context=make_context(context),
        timeout=60,
    )


@then("a caller that trusts the authority streams a chat by TLS")
def check_chat(context):
    wait_until(lambda: ask(context, connect(context))[0] == 200, "the key works")
    body = chat_body(20, True)
    status, answer = ask(context, connect(context), "/v1/chat/completions", body)
    assert status == 200 and answer.endswith(b"data: [DONE]\n\n"), answer


@then("a caller that does not trust it, and one without TLS, get nothing")
def check_strangers(context):
    try:
        open_tls(context, tls=make_context(context, trusted=False))
        raise AssertionError("an unknown authority is trusted")
    except ssl.SSLCertVerificationError:
        pass
    address = (context.world.address, context.world.hosts["a1"][0])
    with socket.create_connection(address, timeout=60) as plain:
        plain.sendall(make_request(key=context.key))
        assert b"HTTP/1.1" not in read_to_end(plain)


def read_to_end(sock):
    received = b""
    try:
        while data := sock.recv(65_536):
            received += data
    except OSError:
        pass
    return received


@then("a job command lists jobs by TLS")
def check_command(context):
    host = f"https://{context.world.address}:{context.world.hosts['a1'][0]}"
    environment = {
        **os.environ,
        "SSL_CERT_FILE": str(context.authority.path),
        "MANGOGAUGE_KEY": context.key,
    }
    command = [sys.executable, "-m", "mangogauge", "job", "list", "--host", host]
    done = subprocess.run(command, env=environment, capture_output=True)
    assert done.returncode == 0, done


def read_certificate(context, number=0):
    with open_tls(context, number) as sock:
        return sock.getpeercert()["serialNumber"]


@when("the callers' certificate is replaced while a connection is kept")
def replace_certificate(context):
    context.kept = connect(context)
    assert ask(context, context.kept)[0] == 200
    context.old = read_certificate(context)
    context.files = context.authority.certify("callers", context.world.address)


@then("new connections see the new certificate and the kept one goes on")
def check_replaced(context):
    context.new = read_certificate(context)
    assert context.new != context.old
    assert ask(context, context.kept)[0] == 200


@when("the certificate's file is spoilt")
def spoil_certificate(context):
    context.files[0].write_text("no certificate")


@then("new connections still see the last good certificate")
def check_kept_certificate(context):
    assert read_certificate(context) == context.new
    log = context.world.processes["a1"].read_log()
    assert "certificates kept" in log


@given("two hosts with mutual TLS between them")
def start_mutual_hosts(context):
    world = context.world
    world.start_platform()
    world.apply_configuration()
    context.authority = Authority(world.folder)
    for host, data_centre in (("a1", "a"), ("b1", "b")):
        options = make_peer_options(context, host)
        world.start_host(host, data_centre, peer_options=options)


def read_members(context, host):
    answer = context.world.get_operator(host).request("GET", "/state")
    return orjson.loads(answer.body)["members"]


def wait_for_members(context, names):
    for host in names:
        wait_until(
            lambda host=host: read_members(context, host) == names, f"{host}: {names}"
        )


@then("the two hosts know each other by TLS")
def check_two(context):
    wait_for_members(context, ["a1", "b1"])


@then("a peer without a certificate, and one of another authority, get nothing")
def check_foreign_peers(context):
    foreign = Authority(context.world.folder, "foreign")
    files = foreign.certify("stranger", context.world.address)
    for chain in (None, files):
        tls = make_context(context)
        tls.set_alpn_protocols(["h2"])
        if chain:
            tls.load_cert_chain(*map(str, chain))
        # TLS 1.3 tells a client of its refusal when it first reads.
        try:
            with open_tls(context, 1, tls=tls) as sock:
                sock.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9))
                assert sock.recv(65_536) == b""
        except OSError:
            pass


def read_peer_certificate(context):
    """Return what a1 shows to a peer that shows b1's certificate."""
    tls = make_context(context)
    folder = context.world.folder
    tls.load_cert_chain(str(folder / "b1.crt"), str(folder / "b1.key"))
    with open_tls(context, 1, tls=tls) as sock:
        return sock.getpeercert()["serialNumber"]


@when("the hosts' certificates are replaced")
def replace_peers(context):
    old = read_peer_certificate(context)
    for host in ("a1", "b1"):
        make_peer_options(context, host)
    assert read_peer_certificate(context) != old


@then("a third host joins the two by TLS")
def check_third(context):
    options = make_peer_options(context, "a2")
    context.world.start_host("a2", "a", peer_options=options)
    wait_for_members(context, ["a1", "a2", "b1"])
