"""Steps of answers that come while their request is still being sent."""

from behave import given, then, when

from features.builders.uploads import BODY, UploadServer, send_upload
from mangogauge.http import HTTPReceiveError

ANSWERS = {
    "no length": b"HTTP/1.1 200 OK\r\n\r\n" + BODY,
    "no length, and no body yet": b"HTTP/1.1 200 OK\r\n\r\n",
    "a length that isn't met": b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + BODY,
    "chunks that don't end": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"%x\r\n%s\r\n" % (len(BODY), BODY),
    "a length that is met": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
    % (len(BODY), BODY),
}


@given("a server that answers an upload at once with {framing}, and resets it")
def serve_early(context, framing):
    context.server = UploadServer(ANSWERS[framing])


@given("a server that answers an upload once it is read, with no length")
def serve_late(context):
    context.server = UploadServer(ANSWERS["no length"], reads_body=True)


@given("a server that answers with status {status}")
def serve_status(context, status):
    answer = b"HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n" % status.encode()
    context.server = UploadServer(answer, reads_body=True)


@when("a client sends it {size} bytes and reads the answer once sending has failed")
def send_and_wait(context, size):
    context.answer = send_upload(context.server, int(size.replace(",", "")), True)


@when("a client sends it {size} bytes and reads the answer")
def send(context, size):
    context.answer = send_upload(context.server, int(size.replace(",", "")), False)


@then("the client finds the answer broken off")
@then("the client has no answer")
def check_broken(context):
    assert isinstance(context.answer, HTTPReceiveError), context.answer


@then("the client has the whole answer")
def check_whole(context):
    assert context.answer == BODY, context.answer
